//! Takes tokens for requests to servers with a rate limit, and answers other instances' asks.
//!
//! The holder of a server's bucket is the leader of its service's keys; for a service without keys,
//! the leader of the first service with keys. All instances hear that leader. Where no service has
//! keys, all instances hear each other, and the first by name is the holder.

use crate::{
    peer_leaders::FirstInstance,
    prelude::*,
    quota_wire::{QuotaBody, QuotaMessage},
};

/// Outcome of taking a token.
pub(crate) enum TokenOutcome {
    /// The server has no limit.
    NotNeeded,
    /// The request may be sent.
    Taken,
    /// The holder has been asked.
    Wait,
    /// There is no token now; it is worth trying again after this time.
    Refused(Duration),
}

/// Instance that keeps the bucket of a server.
enum BucketHolder {
    /// This instance, since the given time.
    Own(MonoTime),
    /// The instance with this heartbeat address.
    Peer(SocketAddr),
    Unknown,
}

/// Takes a token for a request to `server`; a server without a limit needs none. `is_new` is set
/// when the request looks for a server for the first time.
pub(crate) fn take_token(
    node: &Arc<GatewayNode>,
    server: &ServerRuntime,
    is_new: bool,
) -> TokenOutcome {
    let now = node.now();
    if server.quota.lock().limit.per_second(now).is_none() {
        return TokenOutcome::NotNeeded;
    }
    let holder = bucket_holder(node, &server.entry.service, now);
    let instances = node.instance_count();
    let mut quota = server.quota.lock();
    let Some(per_second) = quota.limit.per_second(now) else {
        return TokenOutcome::NotNeeded;
    };
    let next_step = |quota: &mut ServerQuota, is_new| {
        let draw = rand::random();
        quota
            .client
            .next_step(is_new, per_second, instances, now, draw)
    };
    let mut step = next_step(&mut quota, is_new);
    if let (QuotaStep::Ask(ask), BucketHolder::Own(since)) = (step, &holder) {
        if let Some(grant) = quota.answer(&node.own_incarnation, ask, *since, now) {
            quota.client.apply_grant(grant, now);
        }
        step = next_step(&mut quota, false);
    }
    match step {
        QuotaStep::Send => TokenOutcome::Taken,
        QuotaStep::Wait => TokenOutcome::Wait,
        QuotaStep::Refuse(pause) => TokenOutcome::Refused(pause),
        QuotaStep::Ask(ask) => {
            if let BucketHolder::Peer(address) = holder {
                let report = quota.limit.report(true, now);
                send(node, server, report, QuotaBody::Ask(ask), address);
            }
            TokenOutcome::Wait
        }
    }
}

/// Handles a message of another instance about a rate limit.
pub(crate) fn handle(node: &Arc<GatewayNode>, message: &QuotaMessage, from: SocketAddr) {
    let now = node.now();
    let Some(server) = node.server(&message.server) else {
        return;
    };
    if let Some(report) = message.report {
        apply_report(&server, report, now);
    }
    match message.body {
        QuotaBody::Ask(ask) => {
            let BucketHolder::Own(since) = bucket_holder(node, &server.entry.service, now) else {
                return;
            };
            let mut quota = server.quota.lock();
            // Without a limit, the report alone tells the instance that it needs no tokens.
            let grant = quota
                .answer(&message.sender, ask, since, now)
                .unwrap_or(QuotaGrant {
                    number: ask.number,
                    tokens: ask.wanted,
                    pause: Duration::ZERO,
                });
            let report = quota.limit.report(true, now);
            drop(quota);
            send(node, &server, report, QuotaBody::Grant(grant), from);
        }
        QuotaBody::Grant(grant) => {
            let mut quota = server.quota.lock();
            let is_current = quota.client.apply_grant(grant, now);
            drop(quota);
            if is_current {
                let state = node.service(&server.entry.service);
                state.slot_freed.notify(usize::MAX);
            }
        }
    }
}

/// Applies what another instance knows of a server's limit.
pub(crate) fn apply_report(server: &ServerRuntime, report: LimitReport, now: MonoTime) {
    update_limit(server, "peer", |limit| limit.apply_report(report, now));
}

/// Updates a server's limit and logs the change. `source` is who told of it: an answer or another
/// instance.
pub(crate) fn update_limit(
    server: &ServerRuntime,
    source: &str,
    update: impl FnOnce(&mut ServerLimit) -> LimitChange,
) {
    let change = update(&mut server.quota.lock().limit);
    let id = server.incarnation().id.as_str();
    let service = server.entry.service.as_str();
    match change {
        LimitChange::Named(limit) => {
            log::info!(server = id, service, per_second = limit, source; "server names a limit");
        }
        LimitChange::Lifted => {
            log::info!(server = id, service, source; "server names no limit any more");
        }
        LimitChange::Unchanged => {}
    }
}

fn bucket_holder(node: &GatewayNode, service: &str, now: MonoTime) -> BucketHolder {
    let keyed_service = match node.is_keyed(service) {
        true => Some(service.to_string()),
        false => node.keyed_services().into_iter().min(),
    };
    let Some(keyed_service) = keyed_service else {
        return match node.peers.lock().first_instance(now) {
            FirstInstance::Own(since) => BucketHolder::Own(since),
            FirstInstance::Peer(address) => BucketHolder::Peer(address),
        };
    };
    let (leader, led_since) = node.with_key_view(&keyed_service, |view| {
        let leader = view
            .leader
            .record()
            .map(|(record, _)| record.leader.clone());
        (leader, view.led_since)
    });
    match leader {
        Some(leader) if leader == node.own_incarnation => BucketHolder::Own(led_since),
        Some(leader) => {
            let address = node.peers.lock().address_of(&leader.instance);
            address.map_or(BucketHolder::Unknown, BucketHolder::Peer)
        }
        None => BucketHolder::Unknown,
    }
}

fn send(
    node: &GatewayNode,
    server: &ServerRuntime,
    report: Option<LimitReport>,
    body: QuotaBody,
    to: SocketAddr,
) {
    let Some(socket) = node.peer_socket.get().cloned() else {
        return;
    };
    let message = QuotaMessage {
        sender: node.own_incarnation.clone(),
        server: server.incarnation().clone(),
        report,
        body,
    };
    let datagram = message.encode();
    node.workers.spawn(async move {
        // A send error is ignored like a lost datagram: the ask is repeated.
        let _ = socket.send_to(&datagram, to).await;
    });
}
