//! Which instance leads or comes first, as heartbeats tell.

use crate::{peer_positions::order_of, peer_state::PeerState, prelude::*};

/// The first live instance by name.
pub(crate) enum FirstInstance {
    /// This instance, since the given time.
    Own(MonoTime),
    /// The instance with this heartbeat address.
    Peer(SocketAddr),
}

impl PeerTable {
    /// The first by name of the volunteers with a recent heartbeat, which are heard by all.
    pub(crate) fn first_instance(&self, now: MonoTime) -> FirstInstance {
        let mut first_since = self.started_at;
        let mut first: Option<&PeerState> = None;
        let is_volunteer = self.is_volunteer();
        let others = self.peers.values();
        for peer in others.filter(|peer| self.volunteers.contains(&peer.record.name)) {
            let is_before = match first {
                Some(first) => peer.record.name < first.record.name,
                None => !is_volunteer || peer.record.name < self.own_name,
            };
            if !is_before {
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
            rank: self.rank(leader, silence, now),
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

    /// Names of the instances that were heard within `window`.
    pub(crate) fn names_heard_within(&self, window: Duration, now: MonoTime) -> Vec<String> {
        let heard = self
            .peers
            .values()
            .filter(|peer| peer.heard_within(now, window));
        heard.map(|peer| peer.record.name.clone()).collect()
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
    /// assigned, then the other instances. Those that tell all others that they are alive while a
    /// leader is silent count only if they are heard then.
    fn rank(&self, leader: &InstanceIncarnation, silence: Duration, now: MonoTime) -> usize {
        let successors = self
            .assignments
            .get(&leader.instance)
            .map_or(&[][..], |assignment| &assignment.successors);
        if let Some(position) = successors.iter().position(|name| *name == self.own_name) {
            return position;
        }
        let is_exchange_due = silence >= LeaderView::SUSPICION_TIMEOUT;
        let own_order = order_of(&self.own_name);
        let before = self.peers.values().filter(|peer| {
            let name = &peer.record.name;
            let is_silent = is_exchange_due
                && self.volunteers.contains(name)
                && !peer.heard_within(now, Self::RECENT_WINDOW);
            peer.order < own_order
                && !peer.heartbeat.is_stopping
                && !is_silent
                && *name != leader.instance
                && !successors.contains(name)
        });
        before.count() + successors.len()
    }
}
