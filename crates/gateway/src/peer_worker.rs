//! Sending and taking heartbeats.
//!
//! Leaders of keys tell all instances; the others tell the leaders, and all while a leader is not
//! heard. So the messages grow with the instances and not with their square.

use crate::{
    peer_beat::{DeltaBeat, GrantedBeat, LeadBeat, PaceBeat, PeerBeat, SampleBeat},
    prelude::*,
    record_worker,
};
use async_net::UdpSocket;

/// Shortest time between heartbeats, however many changes there are.
const LEAST_INTERVAL: Duration = Duration::from_millis(15);
/// Time between a leader's heartbeats without a change.
const LEADER_INTERVAL: Duration = Duration::from_millis(120);
/// Time between the heartbeats of others.
const INTERVAL: Duration = Duration::from_millis(250);
/// Largest datagram taken, in bytes.
const MAX_DATAGRAM: usize = 8_192;
/// Heartbeats of one instance of which one tells service times; only leaders use them.
const PACES_EACH: usize = 4;
/// Service times in one heartbeat, which has to fit one datagram.
const MAX_PACES: usize = 24;
/// Ranges told of one service, so that a heartbeat fits one datagram; more are asked for.
const MAX_TOLD_RANGES: usize = 60;
/// Least samples of a service time that is told.
const LEAST_SAMPLES: u32 = 3;

/// Takes heartbeats in.
pub(crate) async fn listen(node: Arc<GatewayNode>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            Timer::after(INTERVAL).await;
            continue;
        };
        match PeerBeat::decode(&buffer[..length]) {
            Some(beat) => take(&node, beat),
            None if node.log.allow("heartbeat", node.now()) => {
                log::warn!(from = from.to_string().as_str(), length; "datagram is no heartbeat");
            }
            None => {}
        }
    }
}

fn take(node: &GatewayNode, mut beat: PeerBeat) {
    let now = node.now();
    for sample in std::mem::take(&mut beat.samples) {
        node.with_key_view(&sample.service, |view| {
            view.window.add(&sample.keys, sample.total, now);
        });
    }
    for delta in std::mem::take(&mut beat.deltas) {
        take_delta(node, &delta);
    }
    for granted in std::mem::take(&mut beat.granted) {
        let key = (granted.first, granted.fence);
        let is_new = node.with_key_view(&granted.service, |view| {
            view.granted.insert(key, now).is_none()
        });
        if is_new {
            node.keys_changed.notify(usize::MAX);
        }
    }
    node.peers.lock().unwrap().heard(beat, now);
    node.heartbeat_received.notify(usize::MAX);
}

/// Changes the key record that stands before a change.
fn take_delta(node: &GatewayNode, beat: &DeltaBeat) {
    let next = node.with_key_view(&beat.service, |view| {
        let (record, revision) = view.leader.record()?;
        (revision == beat.base).then(|| beat.delta.apply(record))
    });
    let Some(next) = next else { return };
    let spec = match RecordBody::write(&StoredRecord::from(&next)) {
        Ok(spec) => spec,
        Err(fault) => {
            log::error!(service = beat.service.as_str(), cause = fault.to_string().as_str(); "key record not kept");
            return;
        }
    };
    let object = PlatformObject {
        name: format!("{}{}", KeyView::PREFIX, beat.service),
        revision: beat.revision,
        spec,
        status: serde_json::Value::Null,
    };
    node.mirror.lock().unwrap().put(ObjectKind::Records, object);
    record_worker::adopt(node, &beat.service, next, beat.revision);
}

/// Sends heartbeats.
pub(crate) async fn send(node: Arc<GatewayNode>, socket: UdpSocket) {
    let mut turn = 0;
    loop {
        let due = node.heartbeat_due.listen();
        Timer::after(LEAST_INTERVAL).await;
        let interval = match node.is_leading() {
            true => LEADER_INTERVAL,
            false => INTERVAL,
        };
        future::or(due, async {
            Timer::after(interval).await;
        })
        .await;
        beat(&node, &socket, turn).await;
        turn += 1;
    }
}

/// Sends one heartbeat to all that need it.
async fn beat(node: &GatewayNode, socket: &UdpSocket, turn: usize) {
    let now = node.now();
    let mut beat = PeerBeat {
        instance: node.settings.name.clone(),
        incarnation: node.own_incarnation.incarnation,
        is_stopping: node.is_stopping(),
        store_lost: node.store.health.is_unavailable(),
        revisions: node.mirror.lock().unwrap().newest(),
        ..PeerBeat::default()
    };
    let mut leaders = Vec::new();
    for service in node.keyed_services() {
        node.with_key_view(&service, |view| {
            let (keys, total) = view.take_recent();
            let leads = view.leader.is_leader();
            beat.leads.push(LeadBeat {
                service: service.clone(),
                term: view.leader.record().map_or(0, |(record, _)| record.term),
                leads,
                confirmed_age: view
                    .leader
                    .confirmation_age(now)
                    .min(Duration::from_secs(3_600)),
            });
            view.forget_told(now);
            if leads {
                view.window.add(&keys, total, now);
                tell_changes(&mut beat, &service, view);
                return;
            }
            let leader = view
                .leader
                .record()
                .map(|(record, _)| record.leader.clone());
            leaders.push(leader.map(|leader| (leader, view.led_since)));
            if total > 0 {
                beat.samples.push(SampleBeat {
                    service: service.clone(),
                    keys,
                    total,
                });
            }
        });
    }
    let leads = beat.leads.iter().any(|lead| lead.leads);
    if !leads && turn.is_multiple_of(PACES_EACH) {
        beat.paces = paces(node, turn / PACES_EACH);
    }
    let targets = {
        let peers = node.peers.lock().unwrap();
        if leads && !beat.store_lost {
            let me = WatcherCandidate {
                name: &node.settings.name,
                data_centre: &node.settings.data_centre,
                processor_share: node.settings.processor_share,
            };
            beat.watchers = peers.choose_watchers(me, now);
            beat.yields = is_settled_leader(node, now) && peers.should_yield(me, now);
        }
        beat.heard = peers.live_count(now);
        targets(node, &peers, &beat, &leaders, now)
    };
    let datagram = beat.encode();
    for target in targets {
        // A heartbeat that cannot be sent is like one that is lost: the next one follows.
        let _ = socket.send_to(&datagram, target).await;
    }
}

/// Whether this instance has led all that it leads for a while.
fn is_settled_leader(node: &GatewayNode, now: MonoTime) -> bool {
    /// Time after which a weak leader leaves its work to a stronger instance: long enough for all
    /// to be heard, and for a record's first ranges to be granted.
    const YIELD_AFTER: Duration = Duration::from_secs(3);
    node.keyed_services().iter().all(|service| {
        node.with_key_view(service, |view| {
            !view.leader.is_leader() || now.since(view.led_since) >= YIELD_AFTER
        })
    })
}

/// Adds what a leader has changed lately.
fn tell_changes(beat: &mut PeerBeat, service: &str, view: &KeyView) {
    let fitting = view
        .told_deltas
        .iter()
        .filter(|told| told.delta.len() <= MAX_TOLD_RANGES);
    let deltas = fitting.map(|told| DeltaBeat {
        service: service.into(),
        base: told.base,
        revision: told.revision,
        delta: told.delta.clone(),
    });
    beat.deltas.extend(deltas);
    let granted = view
        .granted
        .keys()
        .take(MAX_TOLD_RANGES)
        .map(|(first, fence)| GrantedBeat {
            service: service.into(),
            first: *first,
            fence: *fence,
        });
    beat.granted.extend(granted);
}

fn targets(
    node: &GatewayNode,
    peers: &PeerTable,
    beat: &PeerBeat,
    leaders: &[Option<(InstanceIncarnation, MonoTime)>],
    now: MonoTime,
) -> Vec<SocketAddr> {
    let leads = beat.leads.iter().any(|lead| lead.leads);
    let is_leader_heard =
        |(lead, leader): (&LeadBeat, &Option<(InstanceIncarnation, MonoTime)>)| {
            leader.as_ref().is_some_and(|(leader, since)| {
                let view =
                    peers.leader_view(&lead.service, leader, *since, &node.own_incarnation, now);
                view.silence < LeaderView::SUSPICION_TIMEOUT
            })
        };
    let others: Vec<&LeadBeat> = beat.leads.iter().filter(|lead| !lead.leads).collect();
    let all_heard = others.into_iter().zip(leaders).all(is_leader_heard);
    if leads || leaders.is_empty() || !all_heard {
        return peers.addresses();
    }
    leaders
        .iter()
        .flatten()
        .filter_map(|(leader, _)| peers.address_of(&leader.instance))
        .collect()
}

/// Service times of servers that hold keys, some at each turn.
fn paces(node: &GatewayNode, turn: usize) -> Vec<PaceBeat> {
    let mut paces = Vec::new();
    for service in node.keyed_services() {
        for server in node.usable_servers(&service).iter() {
            let (service_time, samples) = server.load.lock().unwrap().service_time();
            if samples >= LEAST_SAMPLES {
                paces.push(PaceBeat {
                    server: server.incarnation().clone(),
                    service_time,
                    samples,
                });
            }
        }
    }
    if paces.len() > MAX_PACES {
        let start = turn * MAX_PACES % paces.len();
        paces.rotate_left(start);
        paces.truncate(MAX_PACES);
    }
    paces
}
