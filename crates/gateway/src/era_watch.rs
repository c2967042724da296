//! The era of the store, as its answers and other instances tell it.

use crate::prelude::*;

/// Era in force, and who waits for the next one.
#[derive(Default)]
pub(crate) struct EraWatch {
    tracker: StateMutex<EraTracker>,
    /// Notified when a new era begins.
    pub(crate) begun: Event,
    log: LogRateLimiter,
}

impl EraWatch {
    /// Era in force.
    pub(crate) fn era(&self) -> StoreEra {
        self.tracker.lock().era()
    }

    /// Takes over the era that another instance knows, if it is later.
    pub(crate) fn learn(&self, era: StoreEra, now: MonoTime) {
        let Some(before) = self.tracker.lock().learn(era, now) else {
            return;
        };
        self.record_begin("peer", before);
    }

    /// Takes note of what an answer of the store, at `now`, to a call that began at `asked_at` states.
    pub(crate) fn observe(
        &self,
        call: &'static str,
        notice: EraNotice,
        asked_at: MonoTime,
        now: MonoTime,
    ) -> EraVerdict {
        let verdict = self.tracker.lock().observe(notice, asked_at, now);
        let StoreEra {
            number: era,
            stated,
        } = self.era();
        let kind = match (notice, verdict) {
            (EraNotice::Malformed, _) => "malformed",
            (_, EraVerdict::Begun { before }) => {
                self.record_begin(call, before);
                return verdict;
            }
            (_, EraVerdict::Stale) => "stale",
            (_, EraVerdict::Current) => return verdict,
        };
        metrics::counter!(STORE_ERAS, "kind" => kind).increment(1);
        match (verdict, self.log.allow(kind, now)) {
            (_, false) => {}
            (EraVerdict::Stale, true) => {
                log::warn!(call, era, stated; "answer of the store is of another era");
            }
            (_, true) => log::warn!(call, era; "store states an era that cannot be read"),
        }
        verdict
    }

    /// Logs and counts the beginning of an era, unless it is the first one that is known.
    fn record_begin(&self, call: &'static str, before: StoreEra) {
        if before != StoreEra::default() {
            let StoreEra {
                number: era,
                stated,
            } = self.era();
            let before = before.number;
            log::warn!(call, before, era, stated; "store has begun a new era");
            metrics::counter!(STORE_ERAS, "kind" => "begun").increment(1);
        }
        self.begun.notify(usize::MAX);
    }
}
