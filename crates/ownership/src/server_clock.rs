//! A leader's estimate of a server's clock.
//!
//! A deadline is sent as a time on the server's own clock, so that a message that is delayed, or
//! read late by a suspended server, grants nothing beyond the deadline.

use crate::prelude::*;

/// Time that a server's clock has at least reached, from one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerClock {
    reading: MonoTime,
    received_at: MonoTime,
}

impl ServerClock {
    /// Sample of the clock that the server sent in an answer, which arrived at `received_at`.
    pub fn new(reading: MonoTime, received_at: MonoTime) -> Self {
        Self {
            reading,
            received_at,
        }
    }

    /// Time on the server's clock that comes no later than `deadline` on this instance's clock.
    ///
    /// The server read its clock before the answer arrived here, so counting from the arrival ends
    /// early by up to the duration of the exchange, and never late. The allowance for drift
    /// shortens it further.
    pub fn no_later_than(&self, deadline: MonoTime, timing: &TimingSettings) -> MonoTime {
        if deadline < self.received_at {
            return self.reading.before(self.received_at.since(deadline));
        }
        self.reading
            .after(timing.shortened_by_drift(deadline.since(self.received_at)))
    }
}
