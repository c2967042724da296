//! Selects the instances that watch the platform's store for all others.
//!
//! A pending watch counts as a call, and the store's rate limits grow more slowly than the number
//! of instances. Only the leader of the keys and a few others watch the store; the rest receive
//! changes from them. While no leader assigns watchers, a few volunteers watch; an instance that
//! hears nobody watches too.

use crate::prelude::*;

/// Instance that could watch the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatcherCandidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Data centre that the instance runs in.
    pub data_centre: &'a str,
    /// Share of a processor core that the instance may use.
    pub processor_share: f64,
}

/// Rules for selecting watchers.
#[derive(Clone, Copy, Debug)]
pub struct WatcherSelection;

impl WatcherSelection {
    /// Number of instances that watch besides the leader, so that a watcher remains when two fail
    /// at the same time.
    pub const EXTRA_WATCHERS: usize = 2;
    /// Number of instances that stand in for a leader's watchers while no leader assigns any, and
    /// that all others hear while a leader is silent. A third of all instances may be cut off from the
    /// store; that all of these are among them is then less likely than one in 5,000.
    pub const MAX_VOLUNTEERS: usize = 8;
    /// Silence of the leader after which an instance watches the store itself.
    pub const LEADER_TIMEOUT: Duration = Duration::from_millis(1_100);

    /// Processor share, relative to the strongest instance, below which a leader yields to it.
    const MIN_RELATIVE_SHARE: f64 = 0.75;

    /// Whether a leader should yield to one of the `live` instances that has a much larger
    /// processor share.
    pub fn should_yield(leader: WatcherCandidate<'_>, live: &[WatcherCandidate<'_>]) -> bool {
        let shares = live.iter().map(|candidate| candidate.processor_share);
        let strongest = shares.fold(0.0, f64::max);
        leader.processor_share < strongest * Self::MIN_RELATIVE_SHARE
    }

    /// Names of the instances that watch besides the leader: the strongest ones, preferably in
    /// other data centres than the leader and each other. The first of them is the next leader.
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
        let mut watchers: Vec<WatcherCandidate<'a>> = Vec::new();
        while watchers.len() < Self::EXTRA_WATCHERS && !live.is_empty() {
            let is_other_data_centre = |candidate: &WatcherCandidate<'_>| {
                let mut data_centres = watchers.iter().map(|watcher| watcher.data_centre);
                candidate.data_centre != leader.data_centre
                    && !data_centres.any(|data_centre| data_centre == candidate.data_centre)
            };
            let position = live.iter().position(is_other_data_centre).unwrap_or(0);
            watchers.push(live.remove(position));
        }
        watchers
            .into_iter()
            .map(|candidate| candidate.name)
            .collect()
    }
}
