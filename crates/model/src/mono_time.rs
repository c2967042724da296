//! Readings of a monotonic clock that keeps counting while the machine is suspended.
//!
//! Readings of different machines are not comparable. Decisions never read a clock: the caller
//! passes `now` in.

use crate::prelude::*;

/// Microseconds since an arbitrary origin of this machine.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Reading `span` later.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }

    /// Reading `span` earlier, at least the origin.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }

    /// Time from `earlier` to `self`, zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
