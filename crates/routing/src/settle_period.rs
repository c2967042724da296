//! Time after a restore of the store in which its entries may be older than what is known.
//!
//! A copy from which the store is restored lacks what was written since. Servers write theirs again
//! soon after, and the entries of servers that have ended lapse.

use crate::prelude::*;

/// Period after the first update of an era.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SettlePeriod {
    /// Revision of the first update of the era: what changed up to it may come from the copy.
    copy_revision: StoreRevision,
    /// When the first update came, until the period has ended.
    began_at: Option<MonoTime>,
}

impl SettlePeriod {
    /// Time in which live servers that the copy lacks write their entries again.
    const RETURN_TIME: Duration = Duration::from_millis(2_300);
    /// Time in which the entries of ended servers lapse: three heartbeat intervals, and the delay of
    /// the change.
    const SETTLE_TIME: Duration = Duration::from_millis(3_200);

    /// Begins the period if the revision is of a later era; returns whether it is.
    pub(crate) fn begin(&mut self, revision: StoreRevision, now: MonoTime) -> bool {
        let is_later = revision.era > self.era();
        if is_later {
            *self = Self {
                copy_revision: revision,
                began_at: Some(now),
            };
        }
        is_later
    }

    /// Number of the latest era.
    pub(crate) fn era(&self) -> u64 {
        self.copy_revision.era
    }

    /// Whether a change of this revision may come from the copy.
    pub(crate) fn is_copied(&self, revision: StoreRevision) -> bool {
        revision <= self.copy_revision
    }

    /// Whether entries may still be older than what is known.
    pub(crate) fn is_running(&self, now: MonoTime) -> bool {
        !self.time_left(Self::SETTLE_TIME, now).is_zero()
    }

    /// Time until missing servers count as gone.
    pub(crate) fn return_left(&self, now: MonoTime) -> Duration {
        self.time_left(Self::RETURN_TIME, now)
    }

    /// Time until listed entries count, whatever was known.
    pub(crate) fn settle_left(&self, now: MonoTime) -> Duration {
        self.time_left(Self::SETTLE_TIME, now)
    }

    /// Ends the period when its time is over; returns whether it ends now.
    pub(crate) fn end_if_over(&mut self, now: MonoTime) -> bool {
        let is_over = self.began_at.is_some() && !self.is_running(now);
        if is_over {
            self.began_at = None;
        }
        is_over
    }

    fn time_left(&self, time: Duration, now: MonoTime) -> Duration {
        self.began_at
            .map_or(Duration::ZERO, |at| time.saturating_sub(now.since(at)))
    }
}
