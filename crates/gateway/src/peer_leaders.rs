//! Which instance leads or comes first, as heartbeats tell.

use crate::{peer_state::PeerState, prelude::*};
use xxhash_rust::xxh3::xxh3_64;

/// The first live instance by name.
pub(crate) enum FirstInstance {
    /// This instance, since the given time.
    Own(MonoTime),
    /// The instance with this heartbeat address.
    Peer(SocketAddr),
}

impl PeerTable {
    /// The first instance by name among those with a recent heartbeat and this one.
    pub(crate) fn first_instance(&self, now: MonoTime) -> FirstInstance {
        let mut first_since = self.started_at;
        let mut first: Option<&PeerState> = None;
        for peer in self.peers.values() {
            let is_before = first.map_or(self.own_name.as_str(), |peer| peer.record.name.as_str());
            if peer.record.name.as_str() >= is_before {
                continue;
            }
            match peer.heard_within(now, Self::RECENT_WINDOW) {
                true => first = Some(peer),
                false => {
                    let silent_since = peer.heard_at.unwrap_or_default();
                    first_since = first_since.max(silent_since.after(Self::RECENT_WINDOW));
                }
            }
        }
        match first {
            Some(peer) => FirstInstance::Peer(peer.record.address),
            None => FirstInstance::Own(first_since),
        }
    }

    /// State of a service's leader, from which a takeover is decided.
    pub(crate) fn leader_view(
        &self,
        service: &str,
        leader: &InstanceIncarnation,
        led_since: MonoTime,
        own_incarnation: &InstanceIncarnation,
        now: MonoTime,
    ) -> LeaderView {
        let peer = self.peers.get(&leader.instance);
        let current = peer.filter(|peer| peer.heartbeat.incarnation == leader.incarnation);
        let status = current.and_then(|peer| peer.leadership_of(service));
        let heard_at = current.and_then(|peer| peer.heard_at);
        let listened_since = led_since.max(self.started_at);
        let silence = now.since(heard_at.unwrap_or_default().max(listened_since));
        LeaderView {
            is_own_earlier_incarnation: leader.instance == own_incarnation.instance,
            // A restarted process is no leader, and its former incarnation has ended.
            silence: match peer.is_some_and(|peer| peer.heartbeat.incarnation > leader.incarnation)
            {
                true => LeaderView::SUSPICION_TIMEOUT + silence,
                false => silence,
            },
            confirmation_age: status
                .filter(|status| status.is_leader)
                .map_or(Duration::ZERO, |status| status.confirmation_age),
            hears_peers: self.peers.is_empty() || self.live_count(now) > 1,
            is_leaving: current
                .is_some_and(|peer| peer.heartbeat.is_stopping || peer.heartbeat.yields),
            rank: self.rank(service, leader, now),
        }
    }

    /// When an incarnation of an instance sent the last heartbeat that was received from it, on its
    /// own clock.
    pub(crate) fn heard_from(&self, instance: &InstanceIncarnation) -> Option<MonoTime> {
        let peer = self.peers.get(&instance.instance)?;
        let heartbeat = &peer.heartbeat;
        let is_heard = heartbeat.incarnation == instance.incarnation
            && heartbeat.sent_at > MonoTime::default();
        is_heard.then_some(heartbeat.sent_at)
    }

    /// Instances that could support this one as a leader, among those in `supporting`; the strongest
    /// ones first.
    pub(crate) fn supporter_candidates<'a>(
        &'a self,
        supporting: &'a [InstanceIncarnation],
    ) -> Vec<SupporterCandidate<'a>> {
        let mut found: Vec<(&PeerState, &InstanceIncarnation)> = supporting
            .iter()
            .filter_map(|instance| Some((self.peers.get(&instance.instance)?, instance)))
            .filter(|(peer, instance)| {
                peer.heartbeat.incarnation == instance.incarnation && !peer.heartbeat.is_stopping
            })
            .collect();
        found.sort_by(|(one, _), (other, _)| {
            let shares = [other, one].map(|peer| peer.record.processor_share);
            let by_share = shares[0].total_cmp(&shares[1]);
            by_share.then_with(|| one.record.name.cmp(&other.record.name))
        });
        let candidates = found
            .into_iter()
            .map(|(peer, instance)| SupporterCandidate {
                instance,
                data_centre: &peer.record.data_centre,
            });
        candidates.collect()
    }

    /// Whether a former leader can send no more orders: its process has restarted, or it knows of
    /// `term` or a later one.
    pub(crate) fn is_stopped(&self, service: &str, prior: &InstanceIncarnation, term: u64) -> bool {
        self.peers.get(&prior.instance).is_some_and(|peer| {
            peer.heartbeat.incarnation > prior.incarnation
                || (peer.heartbeat.incarnation == prior.incarnation
                    && peer
                        .leadership_of(service)
                        .is_some_and(|status| status.term >= term))
        })
    }

    /// Position of this instance in the order of takeover: first the watchers that the leader
    /// assigned, then the other live instances by a hash of their names.
    fn rank(&self, service: &str, leader: &InstanceIncarnation, now: MonoTime) -> usize {
        let successors = self
            .assignments
            .get(&leader.instance)
            .map(|assignment| &assignment.successors);
        let named = successors
            .into_iter()
            .flatten()
            .position(|name| *name == self.own_name);
        if let Some(position) = named {
            return position;
        }
        let score = |name: &str| xxh3_64(format!("{service}/{name}").as_bytes());
        let own = score(&self.own_name);
        let before = self.peers.iter().filter(|(name, peer)| {
            **name != leader.instance
                && !peer.heartbeat.is_stopping
                && peer.heard_within(now, Self::RECENT_WINDOW)
                && score(name) < own
        });
        before.count() + successors.map_or(0, Vec::len)
    }
}
