//! Time limits and intervals of a leader of keys.

use crate::prelude::*;

/// Validity of grants and of a leader's authority, and intervals of its work.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTiming {
    /// Time for which a grant lets a server hold keys.
    pub grant_duration: Duration,
    /// Time between two renewals of a grant.
    pub renewal_interval: Duration,
    /// Time after a confirmation by the store for which a leader may send orders.
    pub authority: Duration,
    /// Part of that time for which it needs no support, and time for which the word of a supporter
    /// counts.
    pub support_validity: Duration,
    /// Time after it has lost its support for which a former leader is assumed to send orders; at
    /// least the validity of support of every leader.
    pub former_support: Duration,
    /// Time after its last confirmation for which a former leader is assumed to send orders; at
    /// least the authority of every leader.
    pub former_authority: Duration,
    /// Delay before a failed release or grant is sent again.
    pub retry_delay: Duration,
}
