//! One life of one server: what is known of it and the ways to it.

use crate::prelude::*;

/// A server that is used, or was.
pub(crate) struct ServerRuntime {
    /// Entry in discovery when it was first seen.
    pub(crate) entry: ServerEntry,
    /// Load and health.
    pub(crate) load: Mutex<LoadTracker>,
    /// Connections for callers' requests.
    pub(crate) pool: ServerPool,
    /// Connections for grants.
    pub(crate) grants: GrantConnections,
    /// Connections for releases, which any life of the server may answer.
    pub(crate) releases: HttpClient,
    /// Until when it stays slow after its start.
    pub(crate) warmup_ends_at: MonoTime,
    state: Mutex<RuntimeState>,
}

#[derive(Debug, Default)]
struct RuntimeState {
    leaving_at: Option<MonoTime>,
    order_failures: u32,
    order_failing_since: MonoTime,
    order_refusals: u32,
    broken_at: Option<MonoTime>,
    order_busy: bool,
    is_replaced: bool,
    has_taken: bool,
}

impl ServerRuntime {
    /// Orders in a row without an answer after which a server counts as lost.
    const MAX_ORDER_FAILURES: u32 = 2;
    /// Least time over which they must fail.
    const FAILING_TIME: Duration = Duration::from_millis(600);
    /// Time in which keys are taken from a server whose connection broke, unless it answers.
    const UNSURE_TIME: Duration = Duration::from_millis(1_000);
    /// Refused connections in a row after which nothing can run there.
    const MAX_REFUSALS: u32 = 3;

    /// Server as discovery tells it, with a guess of its service time in seconds.
    pub(crate) fn new(
        workers: &Arc<WorkerPool>,
        entry: ServerEntry,
        service_time: f64,
        now: MonoTime,
    ) -> Self {
        Self {
            load: Mutex::new(LoadTracker::new(entry.slots, service_time)),
            pool: ServerPool::new(workers.clone(), entry.address),
            grants: GrantConnections::new(),
            releases: HttpClient::new(workers.clone(), Dialer::direct(), entry.address),
            warmup_ends_at: now.after(entry.warmup_left),
            state: Mutex::default(),
            entry,
        }
    }

    /// Which life of which server.
    pub(crate) fn incarnation(&self) -> &ServerIncarnation {
        &self.entry.incarnation
    }

    /// Notes that the server leaves or is gone.
    pub(crate) fn leaves(&self, now: MonoTime) {
        self.state.lock().unwrap().leaving_at.get_or_insert(now);
    }

    /// Notes that the server is in use again.
    pub(crate) fn returns(&self) {
        self.state.lock().unwrap().leaving_at = None;
    }

    /// Since when it leaves.
    pub(crate) fn leaving_at(&self) -> Option<MonoTime> {
        self.state.lock().unwrap().leaving_at
    }

    /// Whether callers' requests may still go there, `drain_time` after it began to leave.
    pub(crate) fn takes_requests(&self, now: MonoTime, drain_time: Duration) -> bool {
        self.leaving_at()
            .is_none_or(|at| now.since(at) < drain_time)
    }

    /// Takes the right to send orders; one task at a time.
    pub(crate) fn try_lock_orders(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        !std::mem::replace(&mut state.order_busy, true)
    }

    /// Gives the right back.
    pub(crate) fn unlock_orders(&self) {
        self.state.lock().unwrap().order_busy = false;
    }

    /// Notes an order that was answered.
    pub(crate) fn order_answered(&self) {
        let mut state = self.state.lock().unwrap();
        state.order_failures = 0;
        state.order_refusals = 0;
        state.broken_at = None;
    }

    /// Notes an order without an answer, and whether its connection broke or was refused.
    pub(crate) fn order_failed(&self, broken: bool, refused: bool, now: MonoTime) {
        let mut state = self.state.lock().unwrap();
        if broken {
            state.broken_at = Some(now);
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

    /// Notes an order that it took.
    pub(crate) fn order_accepted(&self) {
        self.state.lock().unwrap().has_taken = true;
    }

    /// Notes an order that it did not understand. A server that has taken orders before does:
    /// one of another service has its address.
    pub(crate) fn order_rejected(&self, status: StatusCode) {
        let mut state = self.state.lock().unwrap();
        state.is_replaced |= state.has_taken && status == StatusCode::BAD_REQUEST;
    }

    /// Notes that another server has its address.
    pub(crate) fn address_reused(&self) {
        self.state.lock().unwrap().is_replaced = true;
    }

    /// Whether a connection to it broke lately and it has answered no order since.
    pub(crate) fn is_suspect(&self, now: MonoTime) -> bool {
        let state = self.state.lock().unwrap();
        state
            .broken_at
            .is_some_and(|at| now.since(at) < Self::UNSURE_TIME)
    }

    /// Whether it leaves orders unanswered.
    pub(crate) fn is_unresponsive(&self, now: MonoTime) -> bool {
        let state = self.state.lock().unwrap();
        state.order_failures >= Self::MAX_ORDER_FAILURES
            && now.since(state.order_failing_since) >= Self::FAILING_TIME
    }

    /// Whether its life has ended: nothing listens at its address, or another server does.
    pub(crate) fn has_ended(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.is_replaced || state.order_refusals >= Self::MAX_REFUSALS
    }
}
