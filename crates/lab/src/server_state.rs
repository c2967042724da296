//! State of a simulated server.

use crate::prelude::*;

/// State that all connections of a server share.
pub(crate) struct ServerState {
    pub(crate) name: ServerName,
    pub(crate) behaviour: Mutex<ServerBehaviour>,
    pub(crate) grants: Mutex<IndexMap<PartId, GrantOrder>>,
    pub(crate) busy: Mutex<u32>,
    pub(crate) open_connections: Mutex<u32>,
    pub(crate) started_runs: std::sync::atomic::AtomicU64,
    pub(crate) slots: async_lock::Semaphore,
    pub(crate) ledger: Arc<GroundTruthLedger>,
    pub(crate) clock: SteadyClock,
    pub(crate) started: MonoTime,
}

impl ServerState {
    /// Creates the state of a server that starts now.
    pub(crate) fn new(
        name: &str,
        behaviour: ServerBehaviour,
        ledger: Arc<GroundTruthLedger>,
    ) -> Self {
        Self {
            name: ServerName::new(name),
            grants: Mutex::default(),
            busy: Mutex::default(),
            open_connections: Mutex::default(),
            started_runs: std::sync::atomic::AtomicU64::default(),
            slots: async_lock::Semaphore::new(behaviour.slots as usize),
            behaviour: Mutex::new(behaviour),
            ledger,
            clock: SteadyClock,
            started: SteadyClock.now(),
        }
    }

    /// Counts a new connection and reports it to the ledger if it exceeds the limit.
    pub(crate) fn connection_opened(&self) {
        let mut open = self.open_connections.lock().unwrap();
        *open += 1;
        if *open > self.behaviour.lock().unwrap().connections {
            self.ledger.record_excess_connection();
        }
    }

    /// Stores a grant; returns false if it has expired, or if fences are checked and its fence is
    /// stale.
    pub(crate) fn accept_grant(&self, order: GrantOrder) -> bool {
        let behaviour = self.behaviour.lock().unwrap().clone();
        let now = self.clock.now();
        let mut grants = self.grants.lock().unwrap();
        let stale = behaviour.checks_fences
            && grants
                .get(&order.part)
                .is_some_and(|held| held.fence > order.fence);
        if stale || order.not_after <= now {
            return false;
        }
        if behaviour.exclusive {
            self.ledger.record_grant(&self.name, &order, now);
        }
        grants.insert(order.part.clone(), order);
        true
    }

    /// Whether a valid grant covers a request and its latest start time has not passed.
    pub(crate) fn may_run(&self, hash: KeyHash, fence: FenceToken, start_before: MonoTime) -> bool {
        let behaviour = self.behaviour.lock().unwrap().clone();
        if !behaviour.requires_grant {
            return true;
        }
        let now = self.clock.now();
        let grants = self.grants.lock().unwrap();
        let covered = grants.values().any(|order| {
            order.not_after > now
                && (!behaviour.checks_fences || order.fence <= fence)
                && (!behaviour.exclusive || order.ranges.iter().any(|range| range.contains(hash)))
        });
        covered && start_before > now
    }

    /// Reply to a control message, with the server's clock and load.
    pub(crate) fn grant_reply(&self, accepted: bool) -> GrantReplyWire {
        let fence = {
            let grants = self.grants.lock().unwrap();
            grants.values().map(|order| order.fence).max()
        };
        let busy = *self.busy.lock().unwrap();
        let behaviour = self.behaviour.lock().unwrap();
        GrantReplyWire {
            accepted,
            clock_us: self.clock.now().0,
            busy: behaviour.reported_busy.unwrap_or(busy),
            leaving: behaviour.leaving,
            fence: fence.unwrap_or_default(),
        }
    }
}
