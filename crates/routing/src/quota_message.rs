//! Messages about the rate limit of one server, between an instance and the quota holder.

use crate::prelude::*;

/// Request of an instance for tokens, each of which allows one request to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaAsk {
    /// Number of the ask; a repetition has the same number.
    pub number: u64,
    /// Tokens that the instance can use at once.
    pub wanted: u32,
}

/// The holder's answer to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Number of the ask.
    pub number: u64,
    /// Tokens granted, at most as many as asked for.
    pub tokens: u32,
    /// Time after which to ask again if fewer tokens were granted than asked for.
    pub pause: Duration,
}
