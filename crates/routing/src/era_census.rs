//! What the other instances have said since this one knows the era of the store.
//!
//! The store may have lost the takeover of a leader. An instance that knows of the new era takes over
//! no record of an earlier one. So once it has told its term together with the new era, it leads by
//! no later term that the store has lost.

use crate::prelude::*;

/// Words of the other instances, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct EraCensus {
    /// Incarnations that were heard before the present era was known.
    earlier: IndexMap<String, u64>,
    /// What was said together with the present era.
    words: IndexMap<String, PeerWord>,
}

/// What one instance has said in the present era.
#[derive(Clone, Copy, Debug)]
struct PeerWord {
    incarnation: u64,
    /// Highest term of the key record that it has told.
    term: u64,
    /// Latest time, on this instance's clock, at which it certainly took this one for its leader.
    heard_at: Option<MonoTime>,
    first_at: MonoTime,
}

/// Requirements that the words of the other instances have to meet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CensusQuestion<'a> {
    /// Names of the instances that must have spoken.
    pub(crate) others: &'a [String],
    /// Term of the record that this instance knows.
    pub(crate) term: u64,
    /// Time at which or after which they must have taken this instance for the leader, if any.
    pub(crate) heard_since: Option<MonoTime>,
    /// Time from the first word of a new incarnation until the grants of its predecessor have
    /// expired.
    pub(crate) max_validity: Duration,
}

/// What the words say about leaders that the store has lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CensusVerdict {
    /// Instances are missing that may lead by a later term.
    Incomplete,
    /// An instance knows a later term.
    LaterTerm,
    /// None leads by a later term. `has_strangers`: the predecessor of some incarnation may have done
    /// so, and moved keys, but its grants have expired.
    Complete { has_strangers: bool },
}

impl EraCensus {
    /// Begins again for a new era.
    pub(crate) fn begin_era(&mut self) {
        for (name, word) in self.words.drain(..) {
            self.earlier.insert(name, word.incarnation);
        }
    }

    /// Records an instance that did not know the present era yet.
    pub(crate) fn record_earlier(&mut self, peer: &InstanceIncarnation) {
        let known = self.earlier.entry(peer.instance.clone()).or_default();
        *known = peer.incarnation.max(*known);
    }

    /// Records the term that an instance told together with the present era.
    pub(crate) fn record_word(
        &mut self,
        peer: &InstanceIncarnation,
        term: u64,
        heard_at: Option<MonoTime>,
        now: MonoTime,
    ) {
        match self.words.get_mut(&peer.instance) {
            Some(word) if word.incarnation > peer.incarnation => {}
            Some(word) if word.incarnation == peer.incarnation => {
                word.term = word.term.max(term);
                word.heard_at = word.heard_at.max(heard_at);
            }
            _ => {
                let word = PeerWord {
                    incarnation: peer.incarnation,
                    term,
                    heard_at,
                    first_at: now,
                };
                self.words.insert(peer.instance.clone(), word);
            }
        }
    }

    /// Whether one of the other instances may lead, or may have led, by a later term.
    pub(crate) fn verdict(&self, question: CensusQuestion, now: MonoTime) -> CensusVerdict {
        if self.words.values().any(|word| word.term > question.term) {
            return CensusVerdict::LaterTerm;
        }
        let mut has_strangers = false;
        for name in question.others {
            let Some(word) = self.words.get(name) else {
                return CensusVerdict::Incomplete;
            };
            if question.heard_since.is_some() && word.heard_at < question.heard_since {
                return CensusVerdict::Incomplete;
            }
            if self.earlier.get(name) != Some(&word.incarnation) {
                has_strangers = true;
                if now.since(word.first_at) < question.max_validity {
                    return CensusVerdict::Incomplete;
                }
            }
        }
        CensusVerdict::Complete { has_strangers }
    }

    /// Whether all of these instances know the term, or a later one.
    pub(crate) fn all_know<'a>(
        &self,
        mut names: impl Iterator<Item = &'a String>,
        term: u64,
    ) -> bool {
        names.all(|name| {
            let word = self.words.get(name);
            word.is_some_and(|word| word.term >= term)
        })
    }
}
