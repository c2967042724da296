//! What a stand-in server knows.

use crate::prelude::*;

/// State shared by a server's exchanges.
pub(crate) struct ServerState {
    pub(crate) name: ServerName,
    pub(crate) behaviour: Mutex<ServerBehaviour>,
    pub(crate) grants: Mutex<IndexMap<PartId, GrantOrder>>,
    pub(crate) busy: Mutex<u32>,
    pub(crate) open: Mutex<u32>,
    pub(crate) taken: std::sync::atomic::AtomicU64,
    pub(crate) slots: async_lock::Semaphore,
    pub(crate) ledger: Arc<TruthLedger>,
    pub(crate) clock: SteadyClock,
    pub(crate) started: MonoTime,
}

impl ServerState {
    /// State of a server that starts now.
    pub(crate) fn new(name: &str, behaviour: ServerBehaviour, ledger: Arc<TruthLedger>) -> Self {
        Self {
            name: ServerName::new(name),
            grants: Mutex::default(),
            busy: Mutex::default(),
            open: Mutex::default(),
            taken: std::sync::atomic::AtomicU64::default(),
            slots: async_lock::Semaphore::new(behaviour.slots as usize),
            behaviour: Mutex::new(behaviour),
            ledger,
            clock: SteadyClock,
            started: SteadyClock.now(),
        }
    }

    /// Counts a connection.
    pub(crate) fn connection_opened(&self) {
        let mut open = self.open.lock().unwrap();
        *open += 1;
        if *open > self.behaviour.lock().unwrap().connections {
            self.ledger.over_connections();
        }
    }

    /// Takes in a grant; false when it is refused.
    pub(crate) fn accept(&self, order: GrantOrder) -> bool {
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
            self.ledger.granted(&self.name, &order, now);
        }
        grants.insert(order.part.clone(), order);
        true
    }

    /// Whether a standing grant covers a request and its time to start has not passed.
    pub(crate) fn may_run(&self, hash: KeyHash, fence: FenceToken, start_before: MonoTime) -> bool {
        let behaviour = self.behaviour.lock().unwrap().clone();
        if !behaviour.needs_grant {
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

    /// Control reply with the server's clock and load.
    pub(crate) fn reply(&self, accepted: bool) -> GrantReplyWire {
        let fence = {
            let grants = self.grants.lock().unwrap();
            grants.values().map(|order| order.fence).max()
        };
        let busy = *self.busy.lock().unwrap();
        let behaviour = self.behaviour.lock().unwrap();
        GrantReplyWire {
            accepted,
            clock_us: self.clock.now().0,
            busy: behaviour.claimed_busy.unwrap_or(busy),
            leaving: behaviour.leaving,
            fence: fence.unwrap_or_default(),
        }
    }
}
