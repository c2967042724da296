//! Sends and receives heartbeats.
//!
//! Leaders of keys send to all instances. The others send to the leaders only. While a leader is
//! silent, those that may take over first send to all instances, and the others to them. The number
//! of messages thus grows linearly with the number of instances.

use crate::{
    heartbeat_content,
    heartbeat_wire::MAX_DATAGRAM_BYTES,
    knowledge_worker,
    peer_heartbeat::{GrantedRange, KeySamples, LeadershipStatus, PeerHeartbeat, RecordUpdate},
    prelude::*,
    quarantine_worker,
    quota_wire::QuotaMessage,
    quota_worker, record_worker, server_notices, warmup_worker,
};
use async_net::UdpSocket;

/// Shortest time between heartbeats when changes are frequent.
pub(crate) const MIN_INTERVAL: Duration = Duration::from_millis(15);
/// Time between the heartbeats of a leader without changes.
pub(crate) const LEADER_INTERVAL: Duration = Duration::from_millis(120);
/// Time between the heartbeats of other instances.
pub(crate) const INTERVAL: Duration = Duration::from_millis(250);
/// One of this many heartbeats carries service times, which only leaders use.
const SERVICE_TIMES_EVERY: usize = 4;
/// Largest number of crashes in a heartbeat, which has to fit one datagram.
pub(crate) const MAX_SUSPECTS: usize = 16;
/// Largest number of ranges of one service in a heartbeat, which has to fit one datagram. Larger
/// changes are fetched over the feed.
pub(crate) const MAX_RANGES: usize = 90;

/// Receives heartbeats and messages about rate limits.
pub(crate) async fn listen(node: Arc<GatewayNode>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            Timer::after(INTERVAL).await;
            continue;
        };
        if let Some(message) = QuotaMessage::decode(&buffer[..length]) {
            quota_worker::handle(&node, &message, from);
            continue;
        }
        match PeerHeartbeat::decode(&buffer[..length]) {
            Some(heartbeat) => handle_heartbeat(&node, heartbeat),
            None if node.log.allow("heartbeat", node.now()) => {
                log::warn!(from = from.to_string().as_str(), length; "datagram is no heartbeat");
            }
            None => {}
        }
    }
}

pub(crate) fn handle_heartbeat(node: &GatewayNode, mut heartbeat: PeerHeartbeat) {
    let now = node.now();
    if let Some(era) = heartbeat.era {
        node.store.learn_era(era);
    }
    heartbeat.assume_era(node.store.era().number);
    node.leave_out_unfollowed(&mut heartbeat.revisions);
    for samples in std::mem::take(&mut heartbeat.key_samples) {
        node.with_known_key_view(&samples.service, |view| {
            view.sample_window.add(&samples.keys, samples.total, now);
        });
    }
    for update in std::mem::take(&mut heartbeat.record_updates) {
        apply_record_update(node, &update);
    }
    for range in std::mem::take(&mut heartbeat.granted_ranges) {
        let key = (range.first, range.fence);
        let is_new = node.with_known_key_view(&range.service, |view| {
            view.granted_ranges.insert(key, now).is_none()
        });
        if is_new == Some(true) {
            node.keys_changed.notify(usize::MAX);
        }
    }
    for report in std::mem::take(&mut heartbeat.suspects) {
        quarantine_worker::apply_report(node, report);
    }
    for incarnation in std::mem::take(&mut heartbeat.leaving) {
        if let Some(server) = node.server(&incarnation) {
            server_notices::apply_leaving(node, &server, "peer");
        }
    }
    quota_worker::apply_known(node, &mut heartbeat);
    let era = heartbeat.era.map_or(0, |era| era.number);
    let sender = InstanceIncarnation {
        instance: heartbeat.instance.clone(),
        incarnation: heartbeat.incarnation,
    };
    for status in &heartbeat.leaderships {
        node.with_known_key_view(&status.service, |view| {
            let (leader, heard_at) = (&mut view.leader, status.leader_heard_at);
            leader.record_peer_term(&sender, status.term, heard_at, now);
            leader.record_peer_report(&sender, era, status.term, heard_at, now);
        });
    }
    let (report, revisions) = (heartbeat.knowledge, heartbeat.revisions);
    let sent_at = node.peers.lock().apply_heartbeat(heartbeat, now);
    if let (Some(report), Some(sent_at)) = (report, sent_at) {
        let known = node.mirror.lock().synced_revisions();
        knowledge_worker::confirm(
            &mut node.knowledge.lock(),
            known,
            report,
            revisions,
            sent_at,
        );
    }
    node.heartbeat_received.notify(usize::MAX);
}

/// Applies a change to the key record if the known revision is the change's base.
fn apply_record_update(node: &GatewayNode, update: &RecordUpdate) {
    let next = node.with_known_key_view(&update.service, |view| {
        let (record, revision) = view.leader.record()?;
        (revision == update.base_revision).then(|| update.delta.apply(record))
    });
    let Some(next) = next.flatten() else { return };
    let spec = match RecordBody::write(&StoredRecord::from(&next)) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!(service = update.service.as_str(), cause = error.to_string().as_str(); "key record of a heartbeat cannot be encoded and is left out");
            return;
        }
    };
    let object = PlatformObject {
        name: format!("{}{}", KeyView::PREFIX, update.service),
        revision: update.revision,
        spec,
        status: serde_json::Value::Null,
    };
    node.mirror.lock().insert(ObjectKind::Records, object);
    record_worker::adopt(node, &update.service, next, update.revision);
}

/// Sends heartbeats at intervals, and early when a change is due.
pub(crate) async fn send(node: Arc<GatewayNode>, socket: UdpSocket) {
    let mut turn = 0;
    let mut told = [StoreRevision::ZERO; KIND_COUNT];
    loop {
        let due = node.heartbeat_due.listen();
        Timer::after(MIN_INTERVAL).await;
        let interval = match node.is_leading() {
            true => LEADER_INTERVAL,
            false => INTERVAL,
        };
        future::or(due, async {
            Timer::after(interval).await;
        })
        .await;
        told = send_heartbeat(&node, &socket, turn, told).await;
        turn += 1;
    }
}

/// Sends one heartbeat to the instances that need it. `told` are the revisions of the last one;
/// returns those of this one.
async fn send_heartbeat(
    node: &GatewayNode,
    socket: &UdpSocket,
    turn: usize,
    told: KindRevisions,
) -> KindRevisions {
    let now = node.now();
    let mut heartbeat = PeerHeartbeat {
        instance: node.settings.name.clone(),
        incarnation: node.own_incarnation.incarnation,
        is_stopping: node.is_stopping(),
        store_lost: node.store.health.is_unavailable(),
        store_unstable: node.store.health.is_unstable(now),
        servers_lost: node.reach.lock().is_any_lost(),
        revisions: node.mirror.lock().latest_revisions(),
        era: Some(node.store.era()),
        sent_at: now,
        knowledge: Some(node.knowledge.lock().report(now)),
        ..PeerHeartbeat::default()
    };
    let mut leaders = Vec::new();
    for service in node.keyed_services() {
        node.with_key_view(&service, |view| {
            let (keys, total) = view.take_recent_keys();
            let is_leader = view.leader.is_leader();
            heartbeat.leaderships.push(LeadershipStatus {
                service: service.clone(),
                term: view.leader.record().map_or(0, |(record, _)| record.term),
                is_leader,
                confirmation_age: view
                    .leader
                    .confirmation_age(now)
                    .min(Duration::from_secs(3_600)),
                leader_heard_at: None,
            });
            view.prune_published(now);
            if is_leader {
                view.sample_window.add(&keys, total, now);
                add_changes(&mut heartbeat, &service, view);
                return;
            }
            let leader = view
                .leader
                .record()
                .map(|(record, _)| record.leader.clone());
            leaders.push(leader.map(|leader| (leader, view.led_since)));
            if total > 0 {
                heartbeat.key_samples.push(KeySamples {
                    service: service.clone(),
                    keys,
                    total,
                });
            }
        });
    }
    let is_leader = heartbeat.leaderships.iter().any(|status| status.is_leader);
    if !is_leader && turn.is_multiple_of(SERVICE_TIMES_EVERY) {
        heartbeat.service_times =
            heartbeat_content::collect_service_times(node, turn / SERVICE_TIMES_EVERY);
    }
    heartbeat.rests = heartbeat_content::known_rests(node, now);
    heartbeat.leaving = server_notices::leaving_servers(node, now);
    heartbeat.suspects = node.suspects.lock().reports(is_leader, MAX_SUSPECTS, now);
    heartbeat.limits = heartbeat_content::known_limits(node, is_leader, now);
    heartbeat.cold = warmup_worker::cold_servers(node, is_leader, now);
    let targets = {
        let peers = node.peers.lock();
        if is_leader && !heartbeat.store_lost {
            let own_candidate = WatcherCandidate {
                name: &node.settings.name,
                data_centre: &node.settings.data_centre,
                processor_share: node.settings.processor_share,
            };
            heartbeat.watchers = peers.pick_watchers(own_candidate, now);
            let should_yield = peers.should_yield(own_candidate, now)
                || heartbeat.servers_lost && peers.has_candidate(now);
            heartbeat.yields = should_yield && is_established_leader(node, now);
        }
        heartbeat.live_count = peers.live_count(now);
        let others = heartbeat
            .leaderships
            .iter_mut()
            .filter(|status| !status.is_leader);
        for (status, leader) in others.zip(&leaders) {
            let leader = leader.as_ref().map(|(leader, _)| leader);
            status.leader_heard_at = leader.and_then(|leader| peers.heard_from(leader));
        }
        if is_leader {
            heartbeat.isolated = peers.isolated_peers(now);
        }
        heartbeat_targets::targets(node, &peers, &heartbeat, &leaders, told, now)
    };
    let revisions = heartbeat.revisions;
    let datagram = heartbeat.encode();
    for target in targets {
        // A send error is ignored like a lost datagram: the next heartbeat follows.
        let _ = socket.send_to(&datagram, target).await;
    }
    revisions
}

/// Whether this instance has led each of its services for `YIELD_AFTER`.
fn is_established_leader(node: &GatewayNode, now: MonoTime) -> bool {
    /// Time after which a leader may yield to an instance with more processor share: long enough to
    /// hear all instances and to grant a record's first ranges.
    const YIELD_AFTER: Duration = Duration::from_secs(3);
    node.keyed_services().iter().all(|service| {
        node.with_key_view(service, |view| {
            !view.leader.is_leader() || now.since(view.led_since) >= YIELD_AFTER
        })
    })
}

/// Adds a leader's recent record changes and grants to a heartbeat.
fn add_changes(heartbeat: &mut PeerHeartbeat, service: &str, view: &KeyView) {
    let fitting = view
        .published_deltas
        .iter()
        .filter(|published| published.delta.len() <= MAX_RANGES);
    let updates = fitting.map(|published| RecordUpdate {
        service: service.into(),
        base_revision: published.base_revision,
        revision: published.revision,
        delta: published.delta.clone(),
    });
    heartbeat.record_updates.extend(updates);
    let ranges = view
        .granted_ranges
        .keys()
        .take(MAX_RANGES)
        .map(|(first, fence)| GrantedRange {
            service: service.into(),
            first: *first,
            fence: *fence,
        });
    heartbeat.granted_ranges.extend(ranges);
}
