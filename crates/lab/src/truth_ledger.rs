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
    /// Server that ran it.
    pub server: ServerName,
}

#[derive(Default)]
struct LedgerState {
    runs: Vec<RunRecord>,
    grants: IndexMap<(PartId, ServerName), StandingGrant>,
    two_owners: u64,
}

struct StandingGrant {
    ranges: Vec<SliceRange>,
    until: MonoTime,
}

impl TruthLedger {
    /// Notes that a server runs a request.
    pub fn ran(&self, id: &str, server: &ServerName) {
        let record = RunRecord {
            id: id.into(),
            server: server.clone(),
        };
        self.inner.lock().unwrap().runs.push(record);
    }

    /// Notes that a server accepted an exclusive grant, and counts overlaps with standing ones.
    pub fn granted(&self, server: &ServerName, order: &GrantOrder, now: MonoTime) {
        let mut state = self.inner.lock().unwrap();
        let overlaps = state.grants.iter().any(|((part, owner), standing)| {
            *part == order.part
                && owner != server
                && standing.until > now
                && standing
                    .ranges
                    .iter()
                    .any(|range| order.ranges.iter().any(|other| range.overlaps(other)))
        });
        if overlaps && order.not_after > now {
            state.two_owners += 1;
        }
        state.grants.insert(
            (order.part.clone(), server.clone()),
            StandingGrant {
                ranges: order.ranges.clone(),
                until: order.not_after,
            },
        );
    }

    /// Grants that overlapped another server's standing grant.
    pub fn two_owners(&self) -> u64 {
        self.inner.lock().unwrap().two_owners
    }

    /// All runs in their order.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.inner.lock().unwrap().runs.clone()
    }
}
