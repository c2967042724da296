//! Which instances watch the store for the others, and which of them are asked.

use crate::{
    peer_state::{PeerState, WatcherAssignment},
    prelude::*,
};
use rand::seq::IteratorRandom;

impl PeerTable {
    /// Whether this instance should watch the store itself: a leader assigns it, or it is one of few
    /// that do so while no leader assigns any, or it hears nobody.
    pub(crate) fn should_watch(&self, leads: bool, now: MonoTime) -> bool {
        let max_lag = match self.is_exchanging() {
            true => Self::MAX_LAG,
            false => Self::MAX_LAG_OF_MANY,
        };
        let is_behind = self.lag.is_some_and(|lag| now.since(lag.since) >= max_lag);
        leads || is_behind || self.watches_for_others(now)
    }

    /// Whether this instance watches the store for others too, and not only since it lags.
    pub(crate) fn watches_for_others(&self, now: MonoTime) -> bool {
        let is_assigned =
            |assignment: &WatcherAssignment| assignment.watchers.contains(&self.own_name);
        let is_isolated = !self.hears_any_within(WatcherSelection::LEADER_TIMEOUT, now);
        let stands_in = self.lacks_watchers(now) && (self.is_exchanging() || is_isolated);
        stands_in || self.recent_assignments(now).any(is_assigned)
    }

    /// Assignments of the leaders that are heard.
    fn recent_assignments(&self, now: MonoTime) -> impl Iterator<Item = &WatcherAssignment> {
        self.assignments.values().filter(move |assignment| {
            now.since(assignment.received_at) < WatcherSelection::LEADER_TIMEOUT
        })
    }

    /// Whether no leader is heard, or one that names no watchers.
    pub(crate) fn lacks_watchers(&self, now: MonoTime) -> bool {
        let mut recent = self.recent_assignments(now).peekable();
        recent.peek().is_none() || recent.any(|assignment| assignment.watchers.is_empty())
    }

    /// Instances that this one, as a leader, assigns to watch the store; empty when all should.
    pub(crate) fn pick_watchers(&self, leader: WatcherCandidate<'_>, now: MonoTime) -> Vec<String> {
        let watchers = WatcherSelection::extra_watchers(leader, self.candidates(now));
        watchers.into_iter().map(String::from).collect()
    }

    /// Whether this instance, as a leader, should hand leadership to one with more processor share.
    pub(crate) fn should_yield(&self, leader: WatcherCandidate<'_>, now: MonoTime) -> bool {
        WatcherSelection::should_yield(leader, &self.candidates(now))
    }

    /// Whether any other instance could lead.
    pub(crate) fn has_candidate(&self, now: MonoTime) -> bool {
        !self.candidates(now).is_empty()
    }

    /// Instances with a recent heartbeat that could watch the store or lead.
    pub(crate) fn candidates(&self, now: MonoTime) -> Vec<WatcherCandidate<'_>> {
        self.peers
            .values()
            .filter(|peer| {
                peer.heard_within(now, Self::RECENT_WINDOW)
                    && !peer.heartbeat.is_stopping
                    && !peer.heartbeat.store_lost
                    && !peer.heartbeat.servers_lost
            })
            .map(|peer| WatcherCandidate {
                name: &peer.record.name,
                data_centre: &peer.record.data_centre,
                processor_share: peer.record.processor_share,
            })
            .collect()
    }

    /// Feed address of another instance that is not stopping: one that stands in for a leader's
    /// watchers or, while there are watchers, just as often any.
    pub(crate) fn random_feed_address(
        &self,
        rng: &mut impl rand::RngExt,
        now: MonoTime,
    ) -> Option<SocketAddr> {
        let is_running = |peer: &&PeerState| !peer.heartbeat.is_stopping;
        let address = |peer: &PeerState| peer.record.feed_address;
        let stand_ins = self.exchanging().filter_map(|name| self.peers.get(name));
        let stand_ins = match self.lacks_watchers(now) || rng.random() {
            true => stand_ins.filter(is_running).map(address).choose(rng),
            false => None,
        };
        stand_ins.or_else(|| {
            self.peers
                .values()
                .filter(is_running)
                .map(address)
                .choose(rng)
        })
    }
}
