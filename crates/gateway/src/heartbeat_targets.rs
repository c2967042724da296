//! Which instances get a heartbeat.

use crate::{
    object_mirror::position_of,
    peer_heartbeat::{LeadershipStatus, PeerHeartbeat},
    prelude::*,
};

/// Addresses of the instances that get a heartbeat. `leaders` are those of the services that this
/// instance does not lead, in the order of the heartbeat, with the time since which they lead. `told`
/// are the revisions of its last heartbeat.
pub(crate) fn targets(
    node: &GatewayNode,
    peers: &PeerTable,
    heartbeat: &PeerHeartbeat,
    leaders: &[Option<(InstanceIncarnation, MonoTime)>],
    told: KindRevisions,
    now: MonoTime,
) -> Vec<SocketAddr> {
    let is_leader = heartbeat.leaderships.iter().any(|status| status.is_leader);
    let is_leader_heard =
        |(status, leader): (&LeadershipStatus, &Option<(InstanceIncarnation, MonoTime)>)| {
            leader.as_ref().is_some_and(|(leader, since)| {
                let view =
                    peers.leader_view(&status.service, leader, *since, &node.own_incarnation, now);
                view.silence < LeaderView::SUSPICION_TIMEOUT
            })
        };
    let others: Vec<&LeadershipStatus> = heartbeat
        .leaderships
        .iter()
        .filter(|status| !status.is_leader)
        .collect();
    let all_heard = others.into_iter().zip(leaders).all(is_leader_heard);
    if is_leader || has_news(peers, heartbeat.revisions, told, now) {
        return peers.addresses();
    }
    let leaders: Vec<SocketAddr> = leaders
        .iter()
        .flatten()
        .filter_map(|(leader, _)| peers.address_of(&leader.instance))
        .collect();
    if !leaders.is_empty() && all_heard {
        return leaders;
    }
    let mut targets = peers.exchange_addresses();
    targets.extend(leaders);
    targets.sort();
    targets.dedup();
    targets
}

/// Whether this instance has learnt by its own watch of servers or a configuration that all others
/// have to know in time, although the leader may be cut off from the store without having noticed.
fn has_news(
    peers: &PeerTable,
    revisions: KindRevisions,
    told: KindRevisions,
    now: MonoTime,
) -> bool {
    let kinds = [
        ObjectKind::Servers,
        ObjectKind::Configuration,
        ObjectKind::Evacuations,
    ]
    .map(position_of);
    let has_changed = kinds.iter().any(|kind| revisions[*kind] > told[*kind]);
    has_changed && peers.watches_for_others(now)
}
