//! Which instances watch the platform's store for all others.
//!
//! A waiting watch counts as a call, and the store's rates grow more slowly than the fleet: the
//! leader of the keys and a few others watch, the rest learn from them. Whoever hears no leader
//! watches by itself.

use crate::prelude::*;

/// An instance that could watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchCandidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Data centre that it runs in.
    pub data_centre: &'a str,
}

/// Rules of the duty.
#[derive(Clone, Copy, Debug)]
pub struct WatchDuty;

impl WatchDuty {
    /// Instances that watch beside the leader, so that two may be lost at once.
    pub const HELPERS: usize = 2;
    /// Silence of the leader after which an instance watches by itself.
    pub const LEADER_SILENCE: Duration = Duration::from_millis(1_100);

    /// Names of those that watch beside the leader, in other data centres first.
    pub fn helpers<'a>(
        leader: WatchCandidate<'a>,
        mut live: Vec<WatchCandidate<'a>>,
    ) -> Vec<&'a str> {
        let hash = |name: &str| xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        live.retain(|candidate| candidate.name != leader.name);
        live.sort_by_key(|candidate| hash(candidate.name));
        let mut taken: Vec<WatchCandidate<'a>> = Vec::new();
        while taken.len() < Self::HELPERS && !live.is_empty() {
            let is_new = |candidate: &WatchCandidate<'_>| {
                let mut centres = taken.iter().map(|taken| taken.data_centre);
                candidate.data_centre != leader.data_centre
                    && !centres.any(|centre| centre == candidate.data_centre)
            };
            let position = live.iter().position(is_new).unwrap_or(0);
            taken.push(live.remove(position));
        }
        taken.into_iter().map(|candidate| candidate.name).collect()
    }
}
