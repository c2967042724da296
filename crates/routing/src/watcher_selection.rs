//! Which instances watch the platform's store for all others.
//!
//! A waiting watch counts as a call, and the store's rates grow more slowly than the fleet: the
//! leader of the keys and a few others watch, the rest learn from them. Whoever hears no leader
//! watches by itself.

use crate::prelude::*;

/// An instance that could watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatcherCandidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Data centre that it runs in.
    pub data_centre: &'a str,
    /// Share of a core that it may use.
    pub processor_share: f64,
}

/// Rules of the duty.
#[derive(Clone, Copy, Debug)]
pub struct WatcherSelection;

impl WatcherSelection {
    /// Instances that watch beside the leader, so that two may be lost at once.
    pub const EXTRA_WATCHERS: usize = 2;
    /// Silence of the leader after which an instance watches by itself.
    pub const LEADER_TIMEOUT: Duration = Duration::from_millis(1_100);

    /// Share of the strongest one's processor below which an instance leaves leading to it.
    const WEAK_SHARE: f64 = 0.75;

    /// Whether a leader should leave its work to one of `live`, which has much more of a processor.
    pub fn should_yield(leader: WatcherCandidate<'_>, live: &[WatcherCandidate<'_>]) -> bool {
        let shares = live.iter().map(|candidate| candidate.processor_share);
        let strongest = shares.fold(0.0, f64::max);
        leader.processor_share < strongest * Self::WEAK_SHARE
    }

    /// Names of those that watch beside the leader, the strongest ones, and in other data centres
    /// first. The first of them would lead next.
    pub fn extra_watchers<'a>(
        leader: WatcherCandidate<'a>,
        mut live: Vec<WatcherCandidate<'a>>,
    ) -> Vec<&'a str> {
        let hash = |name: &str| xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        live.retain(|candidate| candidate.name != leader.name);
        live.sort_by(|one, other| {
            let by_share = other.processor_share.total_cmp(&one.processor_share);
            by_share.then_with(|| hash(one.name).cmp(&hash(other.name)))
        });
        let mut taken: Vec<WatcherCandidate<'a>> = Vec::new();
        while taken.len() < Self::EXTRA_WATCHERS && !live.is_empty() {
            let is_new = |candidate: &WatcherCandidate<'_>| {
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
