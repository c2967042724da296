//! Results of an attempt to select a server.

use crate::{prelude::*, server_reservation::ServerReservation};

/// Result of a lookup.
pub(crate) enum LookupOutcome {
    /// A server was selected, and the request counts towards its load.
    Reserved(ServerReservation),
    /// No server can take the request now. Holds the reason to refuse it if it cannot wait longer.
    Wait(RefusalReason),
    /// No server can take the request, and waiting would not help.
    Refuse(RefusalReason),
}

/// Result of a lookup among a group of servers.
pub(crate) enum GroupOutcome {
    /// A server was selected, and the result of its reservation counts.
    Decided(LookupOutcome),
    /// None of the servers can take the request.
    Exhausted(LookupOutcome),
}

impl From<GroupOutcome> for LookupOutcome {
    fn from(outcome: GroupOutcome) -> Self {
        match outcome {
            GroupOutcome::Decided(outcome) | GroupOutcome::Exhausted(outcome) => outcome,
        }
    }
}
