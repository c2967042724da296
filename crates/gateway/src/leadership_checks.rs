//! Checks by the store that this instance still leads the keys of a service, many in one call.
//!
//! A leader opens connections to all owners of keys when it takes over, and has its leadership confirmed
//! once these are open. One read of the record, which is large where servers are many, confirms all
//! connections that are open when it begins. One read runs at a time, and checks that begin meanwhile share
//! the next one.

use crate::{prelude::*, record_writer};

/// Checks that wait for their call, by service.
#[derive(Default)]
pub(crate) struct LeadershipChecks {
    services: StateMutex<IndexMap<String, ServiceChecks>>,
}

/// Checks of one service.
#[derive(Default)]
struct ServiceChecks {
    /// Set when the next read is answered; `None` if no check waits for it.
    next: Option<Arc<OneShotEvent>>,
    is_reading: bool,
}

impl LeadershipChecks {
    /// Time within which checks are made together before a read begins.
    const BATCH_TIME: Duration = Duration::from_millis(10);
    /// Longest wait for the store's answer: a renewal has to be sent before the previous grant
    /// expires.
    const TIMEOUT: Duration = Duration::from_millis(500);

    /// Returns whether the store, asked after `opened_at`, names this instance as the leader.
    pub(crate) async fn is_leader_since(
        &self,
        node: &Arc<GatewayNode>,
        service: &str,
        opened_at: MonoTime,
    ) -> bool {
        let is_confirmed = || {
            node.with_key_view(service, |view| {
                view.leader.is_leader() && view.leader.confirmed_at() >= Some(opened_at)
            })
        };
        if is_confirmed() {
            return true;
        }
        let answered = self.join(node, service);
        future::or(answered.wait(), async {
            Timer::after(Self::TIMEOUT).await;
        })
        .await;
        is_confirmed()
    }

    /// Waits for the next read of a service, which is begun if none is running.
    fn join(&self, node: &Arc<GatewayNode>, service: &str) -> Arc<OneShotEvent> {
        let mut services = self.services.lock();
        let checks = services.entry(service.into()).or_default();
        let answered = checks.next.get_or_insert_default().clone();
        if !std::mem::replace(&mut checks.is_reading, true) {
            let work = read_while_asked(node.clone(), service.into());
            node.workers.spawn(work);
        }
        answered
    }

    /// Takes the checks that wait for the next read; `None` ends the reading.
    fn begin_read(&self, service: &str) -> Option<Arc<OneShotEvent>> {
        let mut services = self.services.lock();
        let checks = services.entry(service.into()).or_default();
        let waiting = checks.next.take();
        checks.is_reading = waiting.is_some();
        waiting
    }
}

/// Reads the record again and again for as long as checks wait for it.
async fn read_while_asked(node: Arc<GatewayNode>, service: String) {
    loop {
        Timer::after(LeadershipChecks::BATCH_TIME).await;
        // Later checks may be of connections that are not open yet.
        let Some(answered) = node.leadership_checks.begin_read(&service) else {
            return;
        };
        record_writer::refresh(&node, &service).await;
        answered.set();
    }
}
