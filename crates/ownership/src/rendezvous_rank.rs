//! Rendezvous hashing: all instances compute the same order, which changes little as candidates
//! come and go.

use crate::prelude::*;

/// Ranking of candidates by the hash of their name and a subject.
#[derive(Clone, Copy, Debug)]
pub struct RendezvousRank;

impl RendezvousRank {
    /// Sorts `candidates` by preference for `subject`, the best one first.
    pub fn order<'a, T>(
        subject: &str,
        candidates: impl IntoIterator<Item = &'a T>,
        name: impl Fn(&T) -> &str,
    ) -> Vec<&'a T> {
        let mut ranked: Vec<&T> = candidates.into_iter().collect();
        ranked.sort_by_cached_key(|candidate| {
            let name = name(candidate);
            (KeyHash::of(&format!("{subject}\n{name}")), name.to_string())
        });
        ranked
    }
}
