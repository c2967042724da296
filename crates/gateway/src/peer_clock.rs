//! Clock of another instance, as far as its heartbeats tell.

use crate::prelude::*;

/// Offset between this instance's clock and another one's.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerClock {
    /// Smallest difference between the arrival and the sending of a heartbeat, in microseconds, and
    /// when it was last updated.
    offset: Option<(i64, MonoTime)>,
}

impl PeerClock {
    /// Rate at which the offset may grow, since clocks differ in speed: microseconds per second.
    const MAX_DRIFT_US: f64 = 200.0;

    /// Time on this instance's clock at which a heartbeat was sent that arrives now. The shortest
    /// time on the way is taken for none.
    pub(crate) fn sent_time(&mut self, sent_at: MonoTime, now: MonoTime) -> MonoTime {
        let current = now.0.wrapping_sub(sent_at.0) as i64;
        let known = self.offset.map_or(current, |(offset, at)| {
            let drift = now.since(at).as_secs_f64() * Self::MAX_DRIFT_US;
            offset.saturating_add(drift as i64)
        });
        let offset = current.min(known);
        self.offset = Some((offset, now));
        let delay = current.saturating_sub(offset);
        now.before(Duration::from_micros(delay.unsigned_abs()))
    }
}
