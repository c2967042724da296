//! Takes part in the elections of part leaders, and starts the creation of missing parts.

use crate::prelude::*;

/// Interval at which the electors are checked for due steps.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval between two parts handed over to their preferred leaders.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a draining instance waits for records that name other leaders.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Vote messages to one instance, sent in one frame; without any it is just a heartbeat.
#[derive(Default)]
struct PeerMessages {
    requests: Vec<VoteRequest>,
    releases: Vec<VoteRelease>,
}

/// Runs the elections of all known parts until the worker pool stops.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    let mut last_heartbeat = MonoTime::default();
    let mut last_hand_over = node.clock.now();
    loop {
        let now = node.clock.now();
        let is_heartbeat_due = now.since(last_heartbeat) >= node.settings.timing.heartbeat;
        if is_heartbeat_due {
            last_heartbeat = now;
            part_creator::create_missing(&node);
            probe(&node, now);
        }
        let may_hand_over = now.since(last_hand_over) >= HAND_OVER_INTERVAL;
        if tick(&node, now, is_heartbeat_due, may_hand_over) {
            last_hand_over = now;
        }
        Timer::after(TICK_INTERVAL).await;
    }
}

/// Sends a heartbeat to the next instance that has not answered recently.
fn probe(node: &Arc<InstanceNode>, now: MonoTime) {
    let instances = node.tables.instances.lock().unwrap();
    let mut peers = node.tables.peers.lock().unwrap();
    if let Some(address) = peers.next_probe(&node.id, &instances, now) {
        send(node, address, PeerMessages::default());
    }
}

/// Returns the live and ended instances as this instance knows them.
pub(crate) fn fleet_view(node: &InstanceNode, now: MonoTime) -> FleetView {
    let instances = node.tables.instances.lock().unwrap();
    let peers = node.tables.peers.lock().unwrap();
    let is_leaving = node.is_draining();
    peers.fleet_view(&node.id, is_leaving, &instances, now, &node.settings.timing)
}

/// Advances all electors; returns whether the hand-over of a part was started.
fn tick(
    node: &Arc<InstanceNode>,
    now: MonoTime,
    is_heartbeat_due: bool,
    may_hand_over: bool,
) -> bool {
    let mut fleet = fleet_view(node, now);
    fleet.may_hand_over = may_hand_over;
    let mut has_handed_over = false;
    let mut steps = Vec::new();
    {
        let mut electors = node.tables.electors.lock().unwrap();
        for elector in electors.values_mut() {
            if node.is_draining() {
                elector.leave();
            }
            if is_heartbeat_due || elector.is_due(now) {
                elector.tick(now, &fleet);
            }
            let new_steps = elector.take_steps();
            let hands_over = |step: &ElectionStep| matches!(step, ElectionStep::Write(record) if record.leader != node.id);
            if new_steps.iter().any(hands_over) && !node.is_draining() {
                has_handed_over = true;
                fleet.may_hand_over = false;
            }
            steps.extend(new_steps);
        }
        sync_led_parts(node, &electors, now);
    }
    execute_steps(node, steps);
    has_handed_over
}

/// Adds, renews and removes led parts according to the authority that each elector has.
fn sync_led_parts(node: &InstanceNode, electors: &IndexMap<PartId, LeaderElector>, now: MonoTime) {
    let timing = node.settings.timing;
    let mut led = node.tables.led_parts.lock().unwrap();
    for (id, elector) in electors {
        match (elector.authority(now), led.get_mut(id)) {
            (Some(authority), Some(part)) => part.renew(authority, now, &timing),
            (Some(authority), None) => {
                node.decisions
                    .record(id, "lead", format!("at {}", authority.fence()));
                led.insert(id.clone(), LedPart::new(authority, now, &timing));
            }
            (None, Some(_)) => {
                node.decisions.record(id, "step down", "authority ended");
                led.swap_remove(id);
            }
            (None, None) => {}
        }
    }
}

/// Waits until the draining instance leads no part.
///
/// After [`HAND_OVER_TIMEOUT`], for instance while the store is unavailable, releases the votes, so
/// that the standbys take over without a new record.
pub(crate) async fn hand_over(node: &Arc<InstanceNode>) {
    let deadline = node.clock.now().after(HAND_OVER_TIMEOUT);
    let leads_any = || !node.tables.led_parts.lock().unwrap().is_empty();
    let has_peers = {
        let fleet = fleet_view(node, node.clock.now());
        !fleet.live.is_empty()
    };
    while has_peers && leads_any() && node.clock.now() < deadline {
        Timer::after(TICK_INTERVAL).await;
    }
    if !has_peers || !leads_any() {
        return;
    }
    let steps = {
        let mut electors = node.tables.electors.lock().unwrap();
        for elector in electors.values_mut() {
            elector.leave();
            elector.release();
        }
        sync_led_parts(node, &electors, node.clock.now());
        electors
            .values_mut()
            .flat_map(LeaderElector::take_steps)
            .collect()
    };
    execute_steps(node, steps);
    Timer::after(node.settings.timing.heartbeat).await;
}

/// Sends the messages and starts the writes of `steps`.
pub(crate) fn execute_steps(node: &Arc<InstanceNode>, steps: Vec<ElectionStep>) {
    let mut outgoing: IndexMap<InstanceId, PeerMessages> = IndexMap::new();
    for step in steps {
        match step {
            ElectionStep::RequestVote(request) => outgoing
                .entry(request.voter.clone())
                .or_default()
                .requests
                .push(request),
            ElectionStep::ReleaseVote { to, release } => {
                outgoing.entry(to).or_default().releases.push(release);
            }
            ElectionStep::Write(record) => {
                let node = node.clone();
                let pool = node.pool.clone();
                pool.spawn(async move { record_writer::write(&node, record).await });
            }
        }
    }
    let instances = node.tables.instances.lock().unwrap();
    for (to, messages) in outgoing {
        if let Some(record) = instances.get(&to.name).filter(|record| record.id == to) {
            send(node, record.peer_address, messages);
        }
    }
}

fn send(node: &Arc<InstanceNode>, address: SocketAddr, messages: PeerMessages) {
    let node = node.clone();
    let pool = node.pool.clone();
    pool.spawn(async move { exchange(&node, address, messages).await });
}

/// Sends vote messages to an instance and handles its replies.
async fn exchange(node: &Arc<InstanceNode>, address: SocketAddr, messages: PeerMessages) {
    let sent_at = node.clock.now();
    let wire = VoteBatchWire {
        requests: messages
            .requests
            .iter()
            .map(VoteRequestWire::from)
            .collect(),
        releases: messages
            .releases
            .iter()
            .map(VoteReleaseWire::from)
            .collect(),
    };
    let timeout = node.settings.timing.lease;
    let reply = node
        .peers
        .heartbeat(address, PeerBody::VoteBatch(wire), timeout)
        .await;
    let Ok(PeerBody::VoteBatchReply(reply)) = reply else {
        return;
    };
    let now = node.clock.now();
    if let Ok(id) = reply.instance.parse() {
        node.tables.peers.lock().unwrap().record_answer(id, now);
    }
    let fleet = fleet_view(node, now);
    let mut steps = Vec::new();
    for (request, wire) in messages.requests.iter().zip(reply.replies) {
        let Ok(reply) = VoteReply::try_from(wire) else {
            continue;
        };
        if let Some(record) = reply.record.clone() {
            node.tables.learn_record(record, now);
        }
        let mut electors = node.tables.electors.lock().unwrap();
        if let Some(elector) = electors.get_mut(&request.part) {
            elector.handle_reply(request, reply, sent_at, now, &fleet);
            steps.extend(elector.take_steps());
        }
    }
    sync_led_parts(node, &node.tables.electors.lock().unwrap(), now);
    execute_steps(node, steps);
}

/// Answers the vote messages of another instance.
pub(crate) fn answer_votes(node: &Arc<InstanceNode>, wire: VoteBatchWire) -> VoteBatchReplyWire {
    let now = node.clock.now();
    for release in wire.releases.into_iter().map(VoteRelease::try_from) {
        let Ok(release) = release else {
            continue;
        };
        node.tables.learn_record(release.record.clone(), now);
        let mut electors = node.tables.electors.lock().unwrap();
        if let Some(elector) = electors.get_mut(&release.part) {
            elector.handle_release(release, now);
        }
    }
    let replies = wire.requests.into_iter().map(|wire| {
        let request = VoteRequest::try_from(wire).ok()?;
        if let Some(record) = request.record.clone() {
            node.tables.learn_record(record, now);
        }
        let mut electors = node.tables.electors.lock().unwrap();
        let elector = electors.get_mut(&request.part)?;
        Some(VoteReplyWire::from(&elector.handle_request(request, now)))
    });
    let replies = replies.map(Option::unwrap_or_default).collect();
    let steps = {
        let mut electors = node.tables.electors.lock().unwrap();
        sync_led_parts(node, &electors, now);
        electors
            .values_mut()
            .flat_map(LeaderElector::take_steps)
            .collect()
    };
    execute_steps(node, steps);
    VoteBatchReplyWire {
        replies,
        instance: node.id.to_string(),
    }
}
