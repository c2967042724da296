//! Selects the supporters of a leader of keys.

use crate::prelude::*;

/// Instance that could support a leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SupporterCandidate<'a> {
    /// Name and incarnation of the instance.
    pub instance: &'a InstanceIncarnation,
    /// Name of the data centre that the instance runs in.
    pub data_centre: &'a str,
}

/// Rules for selecting supporters.
#[derive(Clone, Copy, Debug)]
pub struct SupporterSelection;

impl SupporterSelection {
    /// Highest number of supporters. Of four, two may be lost at the same time.
    pub const MAX_SUPPORTERS: usize = 4;

    /// Selects supporters among `candidates`, which are in the order of preference: those of the
    /// `current` ones that are still there, and then others, spread over the data centres. The
    /// number is even, since one more would only raise the number that the leader needs.
    pub fn select(
        current: &[InstanceIncarnation],
        candidates: &[SupporterCandidate<'_>],
    ) -> Vec<InstanceIncarnation> {
        let is_current = |candidate: &&SupporterCandidate<'_>| current.contains(candidate.instance);
        let mut selected: Vec<SupporterCandidate<'_>> =
            candidates.iter().filter(is_current).copied().collect();
        while selected.len() < Self::MAX_SUPPORTERS {
            let neighbours = |candidate: &&SupporterCandidate<'_>| {
                let others = selected.iter();
                others
                    .filter(|other| other.data_centre == candidate.data_centre)
                    .count()
            };
            let left = candidates.iter().filter(|one| !selected.contains(one));
            let Some(next) = left.min_by_key(neighbours) else {
                break;
            };
            selected.push(*next);
        }
        selected.truncate(selected.len() / 2 * 2);
        let mut supporters: Vec<InstanceIncarnation> = selected
            .into_iter()
            .map(|supporter| supporter.instance.clone())
            .collect();
        supporters.sort_by(|one, other| one.instance.cmp(&other.instance));
        supporters
    }
}
