//! Detects holders of keys that have ended, and former leaders that have stopped.

use crate::{prelude::*, record_restorer};

/// Detects servers that have ended, and former leaders that have stopped sending orders.
pub(crate) fn detect(node: &GatewayNode, service: &str) {
    detect_ended_servers(node, service);
    detect_stopped_leaders(node, service);
}

fn detect_ended_servers(node: &GatewayNode, service: &str) {
    let holders: Vec<ServerIncarnation> = node.with_key_view(service, |view| {
        let Some((record, _)) = view.leader.record() else {
            return Vec::new();
        };
        let mut incarnations: Vec<_> = record.owners_and_holders().cloned().collect();
        incarnations.sort();
        incarnations.dedup();
        incarnations.retain(|incarnation| !incarnation.is_unknown());
        incarnations
    });
    for holder in holders {
        let (status, proof) = incarnation_status(node, &holder);
        let is_new = node.with_key_view(service, |view| {
            let is_new = !view.leader.has_ended(&holder);
            match status {
                IncarnationStatus::Alive => return false,
                IncarnationStatus::Replaced => view.leader.mark_replaced(&holder),
                IncarnationStatus::Dead => view.leader.mark_dead(&holder),
            }
            is_new
        });
        if is_new {
            let holder = holder.to_string();
            let end = status.label();
            log::info!(service, server = holder.as_str(), end, proof; "server has ended");
        }
    }
}

fn detect_stopped_leaders(node: &GatewayNode, service: &str) {
    let now = node.now();
    let (former, term) = node.with_key_view(service, |view| {
        let term = view.leader.record().map_or(0, |(record, _)| record.term);
        (view.leader.active_former_leaders(now), term)
    });
    for leader in former {
        if leader.is_unknown() {
            record_restorer::end_unknown_leader(node, service);
            continue;
        }
        let is_own = leader.instance == node.own_incarnation.instance;
        if is_own || node.peers.lock().is_stopped(service, &leader, term) {
            node.with_key_view(service, |view| {
                view.leader.former_leader_stopped(&leader, now);
            });
            let leader = leader.instance.as_str();
            log::info!(service, leader; "former leader has stopped");
        }
    }
}

/// Whether it is proved that a server incarnation has ended, and the proof.
pub(crate) fn incarnation_status(
    node: &GatewayNode,
    incarnation: &ServerIncarnation,
) -> (IncarnationStatus, &'static str) {
    let server = node.server(incarnation);
    let address = server.as_ref().map(|server| server.entry.address);
    // Asked now and not when an entry is read, which may come before the configuration that names its
    // service.
    let table = node.route_table();
    let is_named = |service: &str| {
        let table = table.as_ref();
        table.is_some_and(|table| table.services().contains_key(service))
    };
    let roster = node.roster.lock();
    let status = roster.incarnation_status(incarnation, address, is_named);
    drop(roster);
    let is_address_reused =
        server.is_some_and(|server| server.with_order_health(|health| health.has_ended()));
    match status {
        IncarnationStatus::Alive if is_address_reused => {
            (IncarnationStatus::Dead, "other server answers")
        }
        _ => (status, "discovery"),
    }
}
