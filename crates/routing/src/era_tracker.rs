//! Which era of the platform's store is in force, as its answers state.
//!
//! A store that is restored from an older copy loses what it has acknowledged since, and begins a
//! new era. Each answer states its era. Calls are on their way at that moment, so an answer of an
//! earlier era may arrive later. A number that falls although the call began after the present era
//! was known counts as a new era too, but only once no answer has stated the present one for a
//! while: answers that state two numbers by turns begin nothing.

use crate::prelude::*;

/// Era of the store as this instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    known: StoreEra,
    /// When the era in force was learnt.
    since: MonoTime,
    /// Number that answers state although it is not higher than that in force, and when the call to
    /// the first of these answers began.
    candidate: Option<(u64, MonoTime)>,
}

/// Period of the store between two restores from older copies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreEra {
    /// Number that orders the eras: the stated one, unless the stated numbers have fallen.
    pub number: u64,
    /// Number that the store states; zero if it states none.
    pub stated: u64,
}

/// What an answer says about the era of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraNotice {
    /// Nothing: the era in force remains.
    Missing,
    /// Something that cannot be read: the era in force remains.
    Malformed,
    /// The answer is of the era with this number.
    Stated(u64),
}

/// What follows from the notice of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraVerdict {
    /// The answer is of the era in force.
    Current,
    /// The answer is the first one of a new era.
    Begun {
        /// Era that was in force before.
        before: StoreEra,
    },
    /// The answer is of another era than that in force, and tells nothing about it.
    Stale,
}

impl EraTracker {
    /// Time without an answer of the era in force after which a number that is not higher begins
    /// the next era.
    pub const FALL_CONFIRMATION: Duration = Duration::from_secs(2);
    /// Highest number that is taken over from another instance.
    const MAX_NUMBER: u64 = 1 << 33;

    /// Era in force.
    pub fn era(&self) -> StoreEra {
        self.known
    }

    /// Evaluates the notice of an answer, at `now`, to a call that began at `asked_at`.
    pub fn observe(&mut self, notice: EraNotice, asked_at: MonoTime, now: MonoTime) -> EraVerdict {
        let EraNotice::Stated(stated) = notice else {
            return EraVerdict::Current;
        };
        if stated == self.known.stated {
            self.candidate = None;
            return EraVerdict::Current;
        }
        // After a fall, an answer that the present era has overtaken may state a higher number.
        let is_counted = self.known.number == self.known.stated;
        let is_next = stated > self.known.stated && (is_counted || asked_at >= self.since);
        let is_confirmed = match self.candidate {
            Some((number, first_at)) if number == stated => {
                asked_at.since(first_at) >= Self::FALL_CONFIRMATION
            }
            _ => false,
        };
        if is_next || is_confirmed {
            let before = self.known;
            self.begin(
                StoreEra {
                    number: stated.max(before.number + 1),
                    stated,
                },
                now,
            );
            return EraVerdict::Begun { before };
        }
        let is_repeated = self.candidate.is_some_and(|(number, _)| number == stated);
        if asked_at >= self.since && !is_repeated {
            self.candidate = Some((stated, asked_at));
        }
        EraVerdict::Stale
    }

    /// Takes over the era that another instance knows, if it is later; returns the one before.
    pub fn learn(&mut self, era: StoreEra, now: MonoTime) -> Option<StoreEra> {
        if era.number <= self.known.number || era.number > Self::MAX_NUMBER {
            return None;
        }
        let before = self.known;
        self.begin(era, now);
        Some(before)
    }

    fn begin(&mut self, era: StoreEra, now: MonoTime) {
        *self = Self {
            known: era,
            since: now,
            candidate: None,
        };
    }
}
