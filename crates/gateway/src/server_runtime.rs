//! State of one incarnation of a server, and the connections to it.

use crate::{latest_values::LatestValues, prelude::*};

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
    warmup_ends_at: MonoTime,
    state: StateMutex<RuntimeState>,
}

#[derive(Debug, Default)]
struct RuntimeState {
    /// Since when discovery says that the server is draining or gone.
    leaving_since: Option<MonoTime>,
    /// Since when the server's data centre is evacuated.
    evacuated_since: Option<MonoTime>,
    /// Since when the server says in its answers that it leaves.
    announced_at: Option<MonoTime>,
    /// Until when the planner gives the server no keys, since it wants no requests.
    keys_avoided_until: MonoTime,
    orders: OrderHealth,
    last_order: Option<OrderKey>,
    orders_locked: bool,
    /// Handovers of the latest releases.
    handovers: LatestValues<String, { ServerRuntime::MAX_HANDOVERS }>,
}

impl RuntimeState {
    fn draining_since(&self) -> Option<MonoTime> {
        let both = self.leaving_since.into_iter().chain(self.announced_at);
        both.min()
    }
}

/// First key and fence of an order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OrderKey {
    pub(crate) key: u16,
    pub(crate) fence: u64,
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

    /// Marks the server as gone; returns whether discovery had it in use.
    pub(crate) fn mark_gone(&self, now: MonoTime) -> bool {
        let mut state = self.state.lock();
        let was_listed = state.leaving_since.is_none();
        state.leaving_since.get_or_insert(now);
        was_listed
    }

    /// Marks the server as leaving by its own word, which discovery does not take back. Returns
    /// whether that is new.
    pub(crate) fn announce_leaving(&self, now: MonoTime) -> bool {
        let mut state = self.state.lock();
        let is_new = state.announced_at.is_none();
        state.announced_at.get_or_insert(now);
        is_new
    }

    /// Time since the server said that it leaves.
    pub(crate) fn announcement_age(&self, now: MonoTime) -> Option<Duration> {
        let at = self.state.lock().announced_at?;
        Some(now.since(at))
    }

    /// Marks the server as in use again.
    pub(crate) fn mark_active(&self) {
        self.state.lock().leaving_since = None;
    }

    /// Sets since when the server's data centre is evacuated.
    pub(crate) fn set_evacuated(&self, since: Option<MonoTime>) {
        self.state.lock().evacuated_since = since;
    }

    /// Whether the server is slow since it is warming up after its start, or, if its requests are
    /// bounded while it is cold, cold for any reason.
    pub(crate) fn is_warming_up(&self, is_bounded: bool, now: MonoTime) -> bool {
        now < self.warmup_ends_at || is_bounded && self.quota.lock().warmup.is_cold(now)
    }

    /// Since when the server has been leaving or gone, or its data centre evacuated; `None` while it
    /// is in use.
    pub(crate) fn leaving_since(&self) -> Option<MonoTime> {
        let state = self.state.lock();
        state
            .draining_since()
            .into_iter()
            .chain(state.evacuated_since)
            .min()
    }

    /// Since when the server has been draining or gone, whether its data centre is evacuated or not.
    pub(crate) fn draining_since(&self) -> Option<MonoTime> {
        self.state.lock().draining_since()
    }

    /// Whether callers' requests may be sent to the server: while it is in use, and within `bounds`
    /// after it began to leave.
    pub(crate) fn accepts_requests(&self, now: MonoTime, bounds: LeavingBounds) -> bool {
        let state = self.state.lock();
        let is_within =
            |since: Option<MonoTime>, bound| since.is_none_or(|at| now.since(at) < bound);
        is_within(state.draining_since(), bounds.drain_time)
            && is_within(state.evacuated_since, bounds.evacuation_time)
    }

    /// Gives the server no keys until a time.
    pub(crate) fn avoid_keys_until(&self, until: MonoTime) {
        let mut state = self.state.lock();
        state.keys_avoided_until = state.keys_avoided_until.max(until);
    }

    /// Whether the server should get no keys since it wants no requests.
    pub(crate) fn avoids_keys(&self, now: MonoTime) -> bool {
        now < self.state.lock().keys_avoided_until
    }

    /// Locks the sending of renewals to this server; `None` if another task holds the lock.
    pub(crate) fn try_lock_orders(self: &Arc<Self>) -> Option<OrderLock> {
        let was_locked = std::mem::replace(&mut self.state.lock().orders_locked, true);
        (!was_locked).then(|| OrderLock(self.clone()))
    }

    /// Runs `work` on the health of the server as orders show it.
    pub(crate) fn with_order_health<T>(&self, work: impl FnOnce(&mut OrderHealth) -> T) -> T {
        work(&mut self.state.lock().orders)
    }

    /// Why the server should get no keys for now, if it should not.
    pub(crate) fn key_exclusion(&self, now: MonoTime) -> Option<KeyExclusion> {
        self.with_order_health(|health| health.exclusion(now))
    }

    /// Records that an order was sent, or could not be.
    pub(crate) fn record_order(&self, order: OrderKey) {
        self.state.lock().last_order = Some(order);
    }

    /// The last order.
    pub(crate) fn last_order(&self) -> Option<OrderKey> {
        self.state.lock().last_order
    }

    /// Records the handover of an answered release. Returns false if there is none, or if it came
    /// with an earlier release: then the answer is a second copy of that one's, and says nothing
    /// about this release.
    pub(crate) fn record_handover(&self, handover: Option<&str>) -> bool {
        let Some(handover) = handover.filter(|handover| !handover.is_empty()) else {
            return false;
        };
        let mut state = self.state.lock();
        if state.handovers.contains(handover) {
            return false;
        }
        state.handovers.record(handover.into());
        true
    }
}
