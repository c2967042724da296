//! Timestamps of a monotonic clock that keeps counting while the machine is suspended.
//!
//! Timestamps of different machines are not comparable. Code that makes decisions reads no clock:
//! its caller passes `now`.

use crate::prelude::*;

/// Microseconds since an arbitrary origin that is fixed per machine.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Returns the time `span` after `self`, saturating at the largest value.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }

    /// Returns the time `span` before `self`, saturating at the clock's origin.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }

    /// Returns the time elapsed from `earlier` to `self`, or zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
