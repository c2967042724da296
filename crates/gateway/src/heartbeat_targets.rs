//! Which instances get a heartbeat.

use crate::{
    peer_heartbeat::{LeadershipStatus, PeerHeartbeat},
    prelude::*,
};

/// Addresses of the instances that get a heartbeat. `leaders` are those of the services that this
/// instance does not lead, in the order of the heartbeat, with the time since which they lead.
pub(crate) fn targets(
    node: &GatewayNode,
    peers: &PeerTable,
    heartbeat: &PeerHeartbeat,
    leaders: &[Option<(InstanceIncarnation, MonoTime)>],
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
    if is_leader {
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
