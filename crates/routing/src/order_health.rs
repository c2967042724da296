//! What the answers to orders tell about a server.
//!
//! Only a proof that a server's process has ended lets its keys be granted on before its grants
//! expire. All other signs can come from a server that lives and works: it resets connections
//! beyond its maximum, and fewer are allowed while its queue is long. They make it a suspect, which
//! gets no further keys.

use crate::prelude::*;

/// Why an order has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// The server refused the connection.
    Refused,
    /// The connection broke.
    Broken,
    /// No answer came in time, or nothing was sent.
    Silent,
}

/// Health of one incarnation of a server, from the orders of this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderHealth {
    failures: u32,
    failing_since: MonoTime,
    connection_broken_at: Option<MonoTime>,
    has_accepted: bool,
    has_rejected: bool,
    is_address_reused: bool,
}

impl OrderHealth {
    /// Consecutive unanswered orders after which a server counts as unresponsive.
    const MAX_FAILURES: u32 = 2;
    /// Minimum time over which orders must stay unanswered.
    const MIN_FAILING_TIME: Duration = Duration::from_millis(600);
    /// How long a server is suspect after a connection to it broke, unless it answers an order.
    const SUSPECT_TIME: Duration = Duration::from_millis(1_000);

    /// Records that an order was answered.
    pub fn record_answer(&mut self) {
        self.failures = 0;
        self.connection_broken_at = None;
    }

    /// Records that an order was accepted.
    pub fn record_acceptance(&mut self) {
        self.has_accepted = true;
        self.has_rejected = false;
    }

    /// Forgets what orders have told, except a proof that this incarnation has ended.
    pub fn forget_orders(&mut self) {
        *self = Self {
            is_address_reused: self.is_address_reused,
            ..Self::default()
        };
    }

    /// Records that an order was called invalid.
    pub fn record_rejection(&mut self) {
        self.has_rejected = self.has_accepted;
    }

    /// Records that a server with another identifier answered at the address. Addresses are used
    /// again only after their server has ended.
    pub fn record_other_server(&mut self) {
        self.is_address_reused = true;
    }

    /// Records an unanswered order.
    pub fn record_failure(&mut self, failure: OrderFailure, now: MonoTime) {
        if failure != OrderFailure::Silent {
            self.connection_broken_at = Some(now);
        }
        if self.failures == 0 {
            self.failing_since = now;
        }
        self.failures += 1;
    }

    /// Whether the server should get no further keys for now: a connection to it broke or was
    /// refused recently, or it called an order invalid although it had accepted others.
    pub fn is_suspect(&self, now: MonoTime) -> bool {
        let is_broken = self
            .connection_broken_at
            .is_some_and(|at| now.since(at) < Self::SUSPECT_TIME);
        is_broken || self.has_rejected
    }

    /// Whether the server leaves orders unanswered.
    pub fn is_unresponsive(&self, now: MonoTime) -> bool {
        self.failures >= Self::MAX_FAILURES
            && now.since(self.failing_since) >= Self::MIN_FAILING_TIME
    }

    /// Why the server should get no keys for now, if it should not.
    pub fn exclusion(&self, now: MonoTime) -> Option<KeyExclusion> {
        if self.has_ended() {
            Some(KeyExclusion::Ended)
        } else if self.is_unresponsive(now) {
            Some(KeyExclusion::Unresponsive)
        } else if self.has_rejected {
            Some(KeyExclusion::Rejecting)
        } else if self.is_suspect(now) {
            Some(KeyExclusion::Broken)
        } else {
            None
        }
    }

    /// Whether it is proved that this incarnation has ended.
    pub fn has_ended(&self) -> bool {
        self.is_address_reused
    }
}
