//! A leader's knowledge of a server's clock.
//!
//! A deadline is sent as a reading of the server's own clock, so that a message that was delayed,
//! or read late by a frozen server, gives nothing beyond the deadline.

use crate::prelude::*;

/// Lower bound of a server's clock, from one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerClock {
    reading: MonoTime,
    received: MonoTime,
}

impl ServerClock {
    /// A reading that the server put into an answer received at `received`.
    pub fn new(reading: MonoTime, received: MonoTime) -> Self {
        Self { reading, received }
    }

    /// Reading of the server's clock that surely comes no later than our own reading `deadline`.
    ///
    /// The server read its clock before we received the answer, so counting from the receipt ends
    /// early by up to the exchange's duration, and never late. Drift shortens it further.
    pub fn no_later_than(&self, deadline: MonoTime, timing: &TimingSettings) -> MonoTime {
        if deadline < self.received {
            return self.reading.before(self.received.since(deadline));
        }
        self.reading
            .after(timing.shortened_by_drift(deadline.since(self.received)))
    }
}
