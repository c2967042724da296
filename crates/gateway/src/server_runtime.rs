//! State of one incarnation of a server, and the connections to it.

use crate::prelude::*;
use std::collections::VecDeque;

/// One incarnation of a server, in use or recently gone.
pub(crate) struct ServerRuntime {
    /// Discovery entry with which the server was first seen.
    pub(crate) entry: ServerEntry,
    /// Load and failures of callers' requests.
    pub(crate) load: StateMutex<LoadTracker>,
    /// Limit on the rate of requests that the server names, and this instance's part of it.
    pub(crate) quota: StateMutex<ServerQuota>,
    /// Connections for callers' requests.
    pub(crate) pool: ServerPool,
    /// Connections for grants of keys.
    pub(crate) grants: GrantConnections,
    /// Connections for releases of keys, which any incarnation of the server may answer.
    pub(crate) releases: HttpClient,
    /// When the server's warm-up after its start ends; it is slow until then.
    pub(crate) warmup_ends_at: MonoTime,
    state: StateMutex<RuntimeState>,
}

#[derive(Debug, Default)]
struct RuntimeState {
    leaving_since: Option<MonoTime>,
    order_failures: u32,
    order_failing_since: MonoTime,
    order_refusals: u32,
    connection_broken_at: Option<MonoTime>,
    orders_locked: bool,
    is_address_reused: bool,
    has_accepted_order: bool,
    /// Handovers of the latest releases, oldest first.
    handovers: VecDeque<String>,
}

/// Right to send renewals to a server, until it is dropped.
pub(crate) struct OrderLock(Arc<ServerRuntime>);

impl OrderLock {
    /// The locked server.
    pub(crate) fn server(&self) -> &ServerRuntime {
        &self.0
    }
}

impl Drop for OrderLock {
    fn drop(&mut self) {
        self.0.state.lock().orders_locked = false;
    }
}

impl ServerRuntime {
    /// Consecutive unanswered orders after which a server counts as unresponsive.
    const MAX_ORDER_FAILURES: u32 = 2;
    /// Minimum time over which orders must stay unanswered.
    const MIN_FAILING_TIME: Duration = Duration::from_millis(600);
    /// How long a server is suspect after a connection to it broke, unless it answers an order.
    /// Keys are moved away from a suspect server.
    const SUSPECT_TIME: Duration = Duration::from_millis(1_000);
    /// Consecutive refused connections after which the server's process must have ended.
    const MAX_ORDER_REFUSALS: u32 = 3;

    /// Handovers that are remembered to detect second copies of answers.
    const MAX_HANDOVERS: usize = 64;

    /// Creates a server from its discovery entry, with an estimated service time in seconds.
    pub(crate) fn new(
        workers: &Arc<WorkerPool>,
        entry: ServerEntry,
        service_time: f64,
        now: MonoTime,
    ) -> Self {
        Self {
            load: StateMutex::new(LoadTracker::new(entry.slots, service_time)),
            quota: StateMutex::default(),
            pool: ServerPool::new(workers.clone(), entry.address),
            grants: GrantConnections::new(),
            releases: HttpClient::new(workers.clone(), TcpDialer::direct(), entry.address),
            warmup_ends_at: now.after(entry.warmup_left),
            state: StateMutex::default(),
            entry,
        }
    }

    /// Identifier of the server and of this incarnation.
    pub(crate) fn incarnation(&self) -> &ServerIncarnation {
        &self.entry.incarnation
    }

    /// Marks the server as draining or gone, unless it is already.
    pub(crate) fn mark_leaving(&self, now: MonoTime) {
        self.state.lock().leaving_since.get_or_insert(now);
    }

    /// Marks the server as in use again.
    pub(crate) fn mark_active(&self) {
        self.state.lock().leaving_since = None;
    }

    /// Since when the server has been draining or gone; `None` while it is in use.
    pub(crate) fn leaving_since(&self) -> Option<MonoTime> {
        self.state.lock().leaving_since
    }

    /// Whether callers' requests may be sent to the server: while it is in use, and for
    /// `drain_time` after it began to leave.
    pub(crate) fn accepts_requests(&self, now: MonoTime, drain_time: Duration) -> bool {
        self.leaving_since()
            .is_none_or(|at| now.since(at) < drain_time)
    }

    /// Locks the sending of renewals to this server; `None` if another task holds the lock.
    pub(crate) fn try_lock_orders(self: &Arc<Self>) -> Option<OrderLock> {
        let was_locked = std::mem::replace(&mut self.state.lock().orders_locked, true);
        (!was_locked).then(|| OrderLock(self.clone()))
    }

    /// Records that an order was answered.
    pub(crate) fn order_answered(&self) {
        let mut state = self.state.lock();
        state.order_failures = 0;
        state.order_refusals = 0;
        state.connection_broken_at = None;
    }

    /// Records an unanswered order, and whether its connection broke or was refused.
    pub(crate) fn order_failed(&self, broken: bool, refused: bool, now: MonoTime) {
        let mut state = self.state.lock();
        if broken {
            state.connection_broken_at = Some(now);
        }
        if state.order_failures == 0 {
            state.order_failing_since = now;
        }
        state.order_failures += 1;
        state.order_refusals = match refused {
            true => state.order_refusals + 1,
            false => 0,
        };
    }

    /// Records that the server accepted an order.
    pub(crate) fn order_accepted(&self) {
        self.state.lock().has_accepted_order = true;
    }

    /// Records the handover of an answered release. Returns false if there is none, or if it came
    /// with an earlier release: then the answer is a second copy of that one's, and says nothing
    /// about this release.
    pub(crate) fn record_handover(&self, handover: Option<&str>) -> bool {
        let Some(handover) = handover.filter(|handover| !handover.is_empty()) else {
            return false;
        };
        let mut state = self.state.lock();
        if state.handovers.iter().any(|known| known == handover) {
            return false;
        }
        if state.handovers.len() >= Self::MAX_HANDOVERS {
            state.handovers.pop_front();
        }
        state.handovers.push_back(handover.into());
        true
    }

    /// Records that an order was rejected. If a server that has accepted orders before calls one
    /// invalid, a server of another service now has its address.
    pub(crate) fn order_rejected(&self, status: StatusCode) {
        let mut state = self.state.lock();
        state.is_address_reused |= state.has_accepted_order && status == StatusCode::BAD_REQUEST;
    }

    /// Records that another server now has the address.
    pub(crate) fn address_reused(&self) {
        self.state.lock().is_address_reused = true;
    }

    /// Whether a connection to the server broke recently and no order has been answered since.
    pub(crate) fn is_suspect(&self, now: MonoTime) -> bool {
        let state = self.state.lock();
        state
            .connection_broken_at
            .is_some_and(|at| now.since(at) < Self::SUSPECT_TIME)
    }

    /// Whether the server leaves orders unanswered.
    pub(crate) fn is_unresponsive(&self, now: MonoTime) -> bool {
        let state = self.state.lock();
        state.order_failures >= Self::MAX_ORDER_FAILURES
            && now.since(state.order_failing_since) >= Self::MIN_FAILING_TIME
    }

    /// Whether this incarnation has ended: nothing listens at its address, or another server does.
    pub(crate) fn has_ended(&self) -> bool {
        let state = self.state.lock();
        state.is_address_reused || state.order_refusals >= Self::MAX_ORDER_REFUSALS
    }
}
