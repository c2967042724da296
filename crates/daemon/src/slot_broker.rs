//! Waiting for a server's slots.

use crate::prelude::*;

/// Hands out the slots of the servers whose parts this instance leads.
#[derive(Default)]
pub(crate) struct SlotBroker {
    table: Mutex<AdmissionTable>,
    waiting: Mutex<IndexMap<u64, async_channel::Sender<()>>>,
    next_ticket: AtomicU64,
}

/// A slot that is held; given back when dropped.
pub(crate) struct SlotGuard {
    broker: Arc<SlotBroker>,
    server: ServerName,
    limit: SlotLimit,
}

impl SlotBroker {
    /// Takes a slot of `server`, waiting up to `patience`.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        server: &ServerName,
        limit: SlotLimit,
        patience: Duration,
    ) -> Result<SlotGuard, RefusalReason> {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (call, called) = async_channel::bounded(1);
        self.waiting.lock().unwrap().insert(ticket, call);
        let step = self.table.lock().unwrap().admit(server, ticket, limit);
        let result = match step {
            AdmissionStep::Start => Ok(()),
            AdmissionStep::Refuse(reason) => Err(reason),
            AdmissionStep::Wait => self.wait(server, ticket, &called, patience).await,
        };
        self.waiting.lock().unwrap().swap_remove(&ticket);
        result.map(|()| SlotGuard {
            broker: self.clone(),
            server: server.clone(),
            limit,
        })
    }

    /// Waits until the ticket is called; a call that comes with the end of the patience counts.
    async fn wait(
        &self,
        server: &ServerName,
        ticket: u64,
        called: &async_channel::Receiver<()>,
        patience: Duration,
    ) -> Result<(), RefusalReason> {
        let late = async {
            Timer::after(patience).await;
            false
        };
        let in_time = future::or(async { called.recv().await.is_ok() }, late).await;
        match in_time || !self.table.lock().unwrap().abandon(server, ticket) {
            true => Ok(()),
            false => Err(RefusalReason::DeadlineBeforeSend),
        }
    }

    /// Requests running at `server`.
    pub(crate) fn running(&self, server: &ServerName) -> u32 {
        self.table.lock().unwrap().running(server)
    }

    fn finish(&self, server: &ServerName, limit: SlotLimit) {
        let next = self.table.lock().unwrap().finish(server, limit);
        let Some(ticket) = next else {
            return;
        };
        let call = self.waiting.lock().unwrap().get(&ticket).cloned();
        if call.is_none_or(|call| call.try_send(()).is_err()) {
            self.finish(server, limit);
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.broker.finish(&self.server, self.limit);
    }
}
