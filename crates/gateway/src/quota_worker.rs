//! Takes tokens for requests to servers with a rate limit, and answers other instances' asks.
//!
//! The holder of a server's bucket is the leader of its service's keys; for a service without keys,
//! the leader of the first service with keys. All instances hear that leader. Where no service has
//! keys, all instances hear each other, and the first by name is the holder.

use crate::{
    peer_heartbeat::PeerHeartbeat,
    peer_leaders::FirstInstance,
    prelude::*,
    quota_wire::{QuotaBody, QuotaMessage},
    warmup_worker,
};

/// Outcome of taking a token.
pub(crate) enum TokenOutcome {
    /// The server has no limit.
    NotNeeded,
    /// The request may be sent.
    Taken {
        /// Whether the server is cold.
        is_cold: bool,
    },
    /// The holder has been asked.
    Wait,
    /// There is no token now; it is worth trying again after this time.
    Refused(Duration),
}

/// What this instance tells the receiver of a message of the server's limits.
#[derive(Clone, Copy)]
struct LimitKnowledge {
    report: Option<LimitReport>,
    cold_left: Option<Duration>,
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
    if !server.quota.lock().may_be_limited(now) {
        return TokenOutcome::NotNeeded;
    }
    let cold_rate = warmup_worker::cold_rate(node, &server.entry.service);
    let is_cold = warmup_worker::is_bounded(node, server, now);
    let holder = bucket_holder(node, &server.entry.service, is_cold, now);
    let instances = node.instance_count();
    let mut quota = server.quota.lock();
    let Some(per_second) = quota.per_second(cold_rate, now) else {
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
        let grant = quota.answer(&node.own_incarnation, ask, *since, per_second, now);
        quota.client.apply_grant(grant, now);
        step = next_step(&mut quota, false);
    }
    match step {
        QuotaStep::Send => TokenOutcome::Taken { is_cold },
        QuotaStep::Wait => TokenOutcome::Wait,
        QuotaStep::Refuse(pause) => TokenOutcome::Refused(pause),
        QuotaStep::Ask(ask) => {
            if let BucketHolder::Peer(address) = holder {
                let own_word = quota.warmup.own_time_left(now);
                let knowledge = LimitKnowledge {
                    report: quota.limit.report(true, now),
                    cold_left: (is_cold && !own_word.is_zero()).then_some(own_word),
                };
                send(node, server, knowledge, QuotaBody::Ask(ask), address);
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
    if let Some(left) = message.cold_left {
        warmup_worker::apply_report(node, &server, left);
    }
    let service = &server.entry.service;
    let is_cold = warmup_worker::is_bounded(node, &server, now);
    match message.body {
        QuotaBody::Ask(ask) => {
            let BucketHolder::Own(since) = bucket_holder(node, service, is_cold, now) else {
                return;
            };
            let cold_rate = warmup_worker::cold_rate(node, service);
            let mut quota = server.quota.lock();
            let grant = match quota.per_second(cold_rate, now) {
                Some(per_second) => quota.answer(&message.sender, ask, since, per_second, now),
                // Without a limit, the report alone tells the instance that it needs no tokens.
                None => QuotaGrant {
                    number: ask.number,
                    tokens: ask.wanted,
                    pause: Duration::ZERO,
                },
            };
            let knowledge = LimitKnowledge {
                report: quota.limit.report(true, now),
                cold_left: is_cold.then(|| quota.warmup.time_left(now)),
            };
            drop(quota);
            send(node, &server, knowledge, QuotaBody::Grant(grant), from);
        }
        // A holder that does not know that the server is cold, or of an earlier build, grants more
        // than the bound. Without its grants this instance uses its equal share.
        QuotaBody::Grant(_) if is_cold && message.cold_left.is_none() => {}
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

/// Applies what a heartbeat tells of limits and of cold servers.
pub(crate) fn apply_known(node: &GatewayNode, heartbeat: &mut PeerHeartbeat) {
    for known in std::mem::take(&mut heartbeat.limits) {
        if let Some(server) = node.server(&known.server) {
            apply_report(&server, known.report, node.now());
        }
    }
    for cold in std::mem::take(&mut heartbeat.cold) {
        if let Some(server) = node.server(&cold.server) {
            warmup_worker::apply_report(node, &server, cold.left);
        }
    }
}

/// Applies what another instance knows of a server's limit.
fn apply_report(server: &ServerRuntime, report: LimitReport, now: MonoTime) {
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

/// The holder of the buckets of a service's servers. For a cold server this instance is the holder
/// only while it can be sure that no other one is.
fn bucket_holder(node: &GatewayNode, service: &str, is_cold: bool, now: MonoTime) -> BucketHolder {
    let keyed_service = match node.is_keyed(service) {
        true => Some(service.to_string()),
        false => node.keyed_services().into_iter().min(),
    };
    let Some(keyed_service) = keyed_service else {
        let peers = node.peers.lock();
        return match peers.first_instance(now) {
            FirstInstance::Own(_) if is_cold && !peers.hears_any(now) => BucketHolder::Unknown,
            FirstInstance::Own(since) => BucketHolder::Own(since),
            FirstInstance::Peer(address) => BucketHolder::Peer(address),
        };
    };
    let (leader, led_since, has_authority) = node.with_key_view(&keyed_service, |view| {
        let leader = view
            .leader
            .record()
            .map(|(record, _)| record.leader.clone());
        (leader, view.led_since, view.leader.has_authority(now))
    });
    match leader {
        Some(leader) if leader == node.own_incarnation && is_cold && !has_authority => {
            BucketHolder::Unknown
        }
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
    knowledge: LimitKnowledge,
    body: QuotaBody,
    to: SocketAddr,
) {
    let Some(socket) = node.peer_socket.get().cloned() else {
        return;
    };
    let message = QuotaMessage {
        sender: node.own_incarnation.clone(),
        server: server.incarnation().clone(),
        report: knowledge.report,
        cold_left: knowledge.cold_left,
        body,
    };
    let datagram = message.encode();
    node.workers.spawn(async move {
        // A send error is ignored like a lost datagram: the ask is repeated.
        let _ = socket.send_to(&datagram, to).await;
    });
}
