//! Runs, grants and violated guarantees, as the simulated servers observe them.

use crate::prelude::*;

/// Observations of all simulated servers; they do not depend on what the router reports.
#[derive(Default)]
pub struct GroundTruthLedger {
    state: Mutex<LedgerState>,
}

/// One run of a request at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Id of the request.
    pub id: String,
    /// Number of the caller's attempt, counted from 0.
    pub attempt: u32,
    /// Server that runs the request.
    pub server: ServerName,
    /// Service of the request.
    pub service: ServiceName,
    /// Hash of the request's key.
    pub hash: KeyHash,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Start time of the run.
    pub started: MonoTime,
    /// End time of the run; `None` while it runs.
    pub ended: Option<MonoTime>,
}

/// Number of violated guarantees that the servers observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts {
    /// Grants and runs that conflict with a grant or run of another server.
    pub two_owners: u64,
    /// Runs beyond a server's number of slots.
    pub over_slots: u64,
    /// Connections beyond a server's limit.
    pub over_connections: u64,
}

#[derive(Default)]
struct LedgerState {
    runs: Vec<RunRecord>,
    active_runs: IndexMap<usize, ()>,
    grants: IndexMap<(PartId, ServerName), ActiveGrant>,
    frozen_servers: Vec<ServerName>,
    violations: ViolationCounts,
}

struct ActiveGrant {
    ranges: Vec<SliceRange>,
    until: MonoTime,
}

impl GroundTruthLedger {
    /// Records the start of a run; returns the number of the run.
    pub fn record_start(&self, run: RunRecord, exclusive: bool, over_slots: bool) -> usize {
        let mut state = self.state.lock().unwrap();
        state.violations.over_slots += u64::from(over_slots);
        if exclusive && state.has_other_owner(&run) {
            log::error!(
                "{} runs a request for key hash {} that another server owns",
                run.server,
                run.hash
            );
            state.violations.two_owners += 1;
        }
        let number = state.runs.len();
        state.runs.push(run);
        state.active_runs.insert(number, ());
        number
    }

    /// Records the end of a run.
    pub fn record_end(&self, number: usize) {
        let mut state = self.state.lock().unwrap();
        state.active_runs.swap_remove(&number);
        state.runs[number].ended = Some(SteadyClock.now());
    }

    /// Records an accepted exclusive grant, and a violation if another server's unexpired grant
    /// overlaps it.
    pub fn record_grant(&self, server: &ServerName, order: &GrantOrder, now: MonoTime) {
        let mut state = self.state.lock().unwrap();
        let conflict = state.grants.iter().find(|((part, owner), active_grant)| {
            *part == order.part
                && owner != server
                && active_grant.until > now
                && active_grant
                    .ranges
                    .iter()
                    .any(|range| order.ranges.iter().any(|other| range.overlaps(other)))
        });
        if let Some(((_, owner), active_grant)) = conflict {
            let left = active_grant.until.since(now);
            log::error!(
                "{server} accepted {order:?} but {owner} holds an overlapping grant for {left:?}"
            );
            state.violations.two_owners += 1;
        }
        state.grants.insert(
            (order.part.clone(), server.clone()),
            ActiveGrant {
                ranges: order.ranges.clone(),
                until: order.not_after,
            },
        );
    }

    /// Removes the grants and active runs of a server that has ended.
    pub fn record_server_end(&self, server: &ServerName) {
        let mut state = self.state.lock().unwrap();
        state.grants.retain(|(_, owner), _| owner != server);
        let LedgerState {
            runs, active_runs, ..
        } = &mut *state;
        active_runs.retain(|number, ()| runs[*number].server != *server);
    }

    /// Records the start or end of a freeze; runs of a frozen server do not count as conflicts.
    pub fn set_server_frozen(&self, server: &ServerName, frozen: bool) {
        let mut state = self.state.lock().unwrap();
        state.frozen_servers.retain(|name| name != server);
        if frozen {
            state.frozen_servers.push(server.clone());
        }
    }

    /// Records a connection beyond a server's limit.
    pub fn record_excess_connection(&self) {
        self.state.lock().unwrap().violations.over_connections += 1;
    }

    /// Violations counted so far.
    pub fn violations(&self) -> ViolationCounts {
        self.state.lock().unwrap().violations
    }

    /// Grants and runs that conflicted with those of another server.
    pub fn two_owners(&self) -> u64 {
        self.violations().two_owners
    }

    /// All runs, in the order of their starts.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.state.lock().unwrap().runs.clone()
    }
}

impl LedgerState {
    /// Whether another server holds an unexpired grant for the run's key, or runs a request for it.
    ///
    /// Runs of frozen servers do not count.
    fn has_other_owner(&self, run: &RunRecord) -> bool {
        let granted = self.grants.iter().any(|((part, owner), active_grant)| {
            part.service == run.service
                && *owner != run.server
                && active_grant.until > run.started
                && active_grant
                    .ranges
                    .iter()
                    .any(|range| range.contains(run.hash))
        });
        granted
            || self.active_runs.keys().any(|number| {
                let other = &self.runs[*number];
                (&other.service, other.hash) == (&run.service, run.hash)
                    && other.server != run.server
                    && !self.frozen_servers.contains(&other.server)
            })
    }
}
