//! When a server is cold, as one instance knows it.
//!
//! A server says for how long it is still cold in its discovery entry and in answers; instances tell
//! each other. The latest end counts, whatever says so: a word that says less may be older than
//! another one that has arrived, and a server that counts as cold for too long only gets fewer
//! requests.

use crate::prelude::*;

/// Change of a server's state after a word about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupChange {
    /// It is cold or warm as before.
    Unchanged,
    /// It has become cold, for this time.
    Cold(Duration),
}

/// Time until which one incarnation of a server is cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerWarmup {
    /// End by the word of the server to this instance, or by what all instances presume.
    own_end: MonoTime,
    /// End by the word of other instances.
    heard_end: MonoTime,
    /// End by answers to this instance, which no other instance has seen.
    answered_end: MonoTime,
    /// Revision and sequence of the last entry that was applied.
    latest_entry: Option<(StoreRevision, Option<u64>)>,
    /// Whether the end of the time has yet to be noticed.
    is_end_due: bool,
}

impl ServerWarmup {
    /// Delay of messages up to which a later end that another instance tells is taken for the known
    /// one: otherwise two instances would put off the end with each message.
    const MESSAGE_DELAY: Duration = Duration::from_millis(500);

    /// Applies a discovery entry, which says that the server is cold for another `left`. An entry
    /// that is not later than the last one says nothing new.
    pub fn apply_entry(
        &mut self,
        left: Duration,
        revision: StoreRevision,
        sequence: Option<u64>,
        now: MonoTime,
    ) -> WarmupChange {
        if let Some((known_revision, known_sequence)) = self.latest_entry {
            let is_later = match known_sequence.zip(sequence) {
                Some((known, sequence)) => sequence > known,
                None => revision > known_revision,
            };
            if !is_later {
                return WarmupChange::Unchanged;
            }
        }
        self.latest_entry = Some((revision, sequence));
        self.extend(now, |warmup| {
            warmup.own_end = warmup.own_end.max(now.after(left));
        })
    }

    /// Applies an answer of the server, which says that it is cold for another `left`.
    pub fn apply_answer(&mut self, left: Duration, now: MonoTime) -> WarmupChange {
        self.extend(now, |warmup| {
            warmup.own_end = warmup.own_end.max(now.after(left));
            warmup.answered_end = warmup.answered_end.max(now.after(left));
        })
    }

    /// Applies the word of another instance that the server is cold for another `left`.
    pub fn apply_report(&mut self, left: Duration, now: MonoTime) -> WarmupChange {
        let end = now.after(left);
        if end <= self.end().after(Self::MESSAGE_DELAY) {
            return WarmupChange::Unchanged;
        }
        self.extend(now, |warmup| warmup.heard_end = end)
    }

    /// Takes the server for cold until `end`, as all instances do.
    pub fn presume(&mut self, end: MonoTime, now: MonoTime) -> WarmupChange {
        self.extend(now, |warmup| warmup.own_end = warmup.own_end.max(end))
    }

    /// Whether the server is cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        now < self.end()
    }

    /// Time for which the server is still cold; zero for a warm one.
    pub fn time_left(&self, now: MonoTime) -> Duration {
        self.end().since(now)
    }

    /// Time for which the server is still cold without regard to the word of other instances.
    pub fn own_time_left(&self, now: MonoTime) -> Duration {
        self.own_end.since(now)
    }

    /// Time to tell other instances, who know discovery entries by themselves: the server's answers
    /// to this instance, and with `relays` what others told it. `None` if there is nothing to tell.
    pub fn report(&self, relays: bool, now: MonoTime) -> Option<Duration> {
        let end = match relays {
            true => self.answered_end.max(self.heard_end),
            false => self.answered_end,
        };
        let left = end.since(now);
        (left > Self::MESSAGE_DELAY).then_some(left)
    }

    /// Whether the server has become warm; true once for each time that it was cold.
    pub fn take_end(&mut self, now: MonoTime) -> bool {
        let has_ended = self.is_end_due && !self.is_cold(now);
        self.is_end_due &= !has_ended;
        has_ended
    }

    fn end(&self) -> MonoTime {
        self.own_end.max(self.heard_end)
    }

    fn extend(&mut self, now: MonoTime, update: impl FnOnce(&mut Self)) -> WarmupChange {
        let was_cold = self.is_cold(now);
        update(self);
        if was_cold || !self.is_cold(now) {
            return WarmupChange::Unchanged;
        }
        self.is_end_due = true;
        WarmupChange::Cold(self.time_left(now))
    }
}
