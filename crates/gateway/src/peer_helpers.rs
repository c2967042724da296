//! Which instances may run requests for one that does not reach the servers.

use crate::{peer_state::PeerState, prelude::*};
use rand::seq::IteratorRandom;

/// Addresses of instances that may help.
#[derive(Default)]
pub(crate) struct HelperCandidates {
    /// Instances of this data centre.
    pub(crate) local: Vec<SocketAddr>,
    /// Instances of other data centres.
    pub(crate) remote: Vec<SocketAddr>,
    /// Looked-at instances of this data centre, whether or not they may help.
    pub(crate) local_instances: usize,
}

impl PeerTable {
    /// Number of other instances that are looked at, where there are more.
    const MAX_LOOKED_AT: usize = 48;
    /// Time for which another instance's word on its state counts; most are heard while no leader is.
    const STATE_TIME: Duration = Duration::from_secs(10);
    /// Number of names in the list of isolated instances, which has to fit a heartbeat.
    const MAX_ISOLATED: usize = 40;

    /// Instances that may run requests for this one.
    pub(crate) fn helpers(&self, now: MonoTime) -> HelperCandidates {
        let mut candidates = HelperCandidates::default();
        let count = self.peers.len();
        let positions: Vec<usize> = match count > Self::MAX_LOOKED_AT {
            true => (0..Self::MAX_LOOKED_AT)
                .map(|_| rand::random_range(0..count))
                .collect(),
            false => (0..count).collect(),
        };
        for position in positions {
            let Some((_, peer)) = self.peers.get_index(position) else {
                continue;
            };
            let is_local = peer.record.data_centre == self.data_centre;
            candidates.local_instances += usize::from(is_local);
            let Some(address) = peer.record.relay_address else {
                continue;
            };
            if !self.may_help(peer, now) {
                continue;
            }
            match is_local {
                true => candidates.local.push(address),
                false => candidates.remote.push(address),
            }
        }
        candidates
    }

    fn may_help(&self, peer: &PeerState, now: MonoTime) -> bool {
        let is_isolated = self.assignments.values().any(|assignment| {
            now.since(assignment.received_at) < WatcherSelection::LEADER_TIMEOUT
                && assignment.isolated.contains(&peer.record.name)
        });
        let is_unable = peer.heartbeat.is_stopping || peer.heartbeat.servers_lost;
        let is_out = is_isolated || is_unable && peer.heard_within(now, Self::STATE_TIME);
        !is_out
    }

    /// Names of other instances that report that they do not reach some servers.
    pub(crate) fn isolated_peers(&self, now: MonoTime) -> Vec<String> {
        let isolated = self.peers.values().filter(|peer| {
            peer.heard_within(now, Self::RECENT_WINDOW * 2) && peer.heartbeat.servers_lost
        });
        let names = isolated.map(|peer| peer.record.name.clone());
        names.sample(&mut rand::rng(), Self::MAX_ISOLATED)
    }
}
