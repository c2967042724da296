//! What really happened, as the stand-in servers saw it.

use crate::prelude::*;

/// Record shared by all stand-in servers.
#[derive(Default)]
pub struct TruthLedger {
    inner: Mutex<LedgerState>,
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Request's id.
    pub id: String,
    /// Number of the caller's attempt.
    pub attempt: u32,
    /// Server that ran it.
    pub server: ServerName,
    /// Service.
    pub service: ServiceName,
    /// Hash of the key.
    pub hash: KeyHash,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// When it started.
    pub started: MonoTime,
    /// When it ended, none while it runs.
    pub ended: Option<MonoTime>,
}

/// Faults that servers saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerCounts {
    /// Grants and runs that overlapped another server's.
    pub two_owners: u64,
    /// Runs above a server's slots.
    pub over_slots: u64,
    /// Connections above a server's limit.
    pub over_connections: u64,
}

#[derive(Default)]
struct LedgerState {
    runs: Vec<RunRecord>,
    active: IndexMap<usize, ()>,
    grants: IndexMap<(PartId, ServerName), StandingGrant>,
    frozen: Vec<ServerName>,
    counts: LedgerCounts,
}

struct StandingGrant {
    ranges: Vec<SliceRange>,
    until: MonoTime,
}

impl TruthLedger {
    /// Notes that a server starts to run a request; returns the run's number.
    pub fn ran(&self, run: RunRecord, exclusive: bool, over_slots: bool) -> usize {
        let mut state = self.inner.lock().unwrap();
        state.counts.over_slots += u64::from(over_slots);
        if exclusive && state.has_other_owner(&run) {
            log::error!("{} runs {} of another owner", run.server, run.hash);
            state.counts.two_owners += 1;
        }
        let number = state.runs.len();
        state.runs.push(run);
        state.active.insert(number, ());
        number
    }

    /// Notes the end of a run.
    pub fn run_ended(&self, number: usize) {
        let mut state = self.inner.lock().unwrap();
        state.active.swap_remove(&number);
        state.runs[number].ended = Some(SteadyClock.now());
    }

    /// Notes that a server accepted an exclusive grant, and counts overlaps with standing ones.
    pub fn granted(&self, server: &ServerName, order: &GrantOrder, now: MonoTime) {
        let mut state = self.inner.lock().unwrap();
        let overlap = state.grants.iter().find(|((part, owner), standing)| {
            *part == order.part
                && owner != server
                && standing.until > now
                && standing
                    .ranges
                    .iter()
                    .any(|range| order.ranges.iter().any(|other| range.overlaps(other)))
        });
        if let Some(((_, owner), standing)) = overlap {
            let left = standing.until.since(now);
            log::error!("{server} granted {order:?} while {owner} holds it for {left:?}");
            state.counts.two_owners += 1;
        }
        state.grants.insert(
            (order.part.clone(), server.clone()),
            StandingGrant {
                ranges: order.ranges.clone(),
                until: order.not_after,
            },
        );
    }

    /// Notes that a server is gone with all that it held.
    pub fn server_ended(&self, server: &ServerName) {
        let mut state = self.inner.lock().unwrap();
        state.grants.retain(|(_, owner), _| owner != server);
        let LedgerState { runs, active, .. } = &mut *state;
        active.retain(|number, ()| runs[*number].server != *server);
    }

    /// Notes the start or end of a freeze; runs that stand still own nothing.
    pub fn server_frozen(&self, server: &ServerName, frozen: bool) {
        let mut state = self.inner.lock().unwrap();
        state.frozen.retain(|name| name != server);
        if frozen {
            state.frozen.push(server.clone());
        }
    }

    /// Notes a connection above a server's limit.
    pub fn over_connections(&self) {
        self.inner.lock().unwrap().counts.over_connections += 1;
    }

    /// Faults seen so far.
    pub fn counts(&self) -> LedgerCounts {
        self.inner.lock().unwrap().counts
    }

    /// Grants and runs that overlapped another server's.
    pub fn two_owners(&self) -> u64 {
        self.counts().two_owners
    }

    /// All runs in their order.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.inner.lock().unwrap().runs.clone()
    }
}

impl LedgerState {
    /// Whether another server holds a standing grant of the run's key, or runs it.
    fn has_other_owner(&self, run: &RunRecord) -> bool {
        let granted = self.grants.iter().any(|((part, owner), standing)| {
            part.service == run.service
                && *owner != run.server
                && standing.until > run.started
                && standing.ranges.iter().any(|range| range.contains(run.hash))
        });
        granted
            || self.active.keys().any(|number| {
                let other = &self.runs[*number];
                (&other.service, other.hash) == (&run.service, run.hash)
                    && other.server != run.server
                    && !self.frozen.contains(&other.server)
            })
    }
}
