//! Rendezvous hashing: the same order of candidates on every instance, with little churn.

use crate::prelude::*;

/// Ranks candidates for a subject.
#[derive(Clone, Copy, Debug)]
pub struct RendezvousRank;

impl RendezvousRank {
    /// Candidates in order of preference for `subject`.
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
