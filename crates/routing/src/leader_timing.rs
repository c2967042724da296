//! Spans of a leader's work.

use crate::prelude::*;

/// Time for which grants stand, and how often a leader acts.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTiming {
    /// Time for which a server holds keys after a grant.
    pub grant_duration: Duration,
    /// Time between renewals of a grant.
    pub renewal_interval: Duration,
    /// Longest time that a leader orders after the store confirmed it.
    pub authority: Duration,
    /// Longest time that a former leader is taken to order after its last confirmation; at least
    /// the authority of every leader.
    pub former_authority: Duration,
    /// Time between tries of a release that was not answered.
    pub retry_delay: Duration,
}
