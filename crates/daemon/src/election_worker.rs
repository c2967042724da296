//! Creation of parts, and leadership of them by votes between instances.

use crate::prelude::*;

/// Interval of steps while a part is sought.
const SEEK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two parts handed to the instances that should lead them.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait of a draining instance for the records that name its successors.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Messages to one instance.
#[derive(Default)]
struct PeerMail {
    requests: Vec<VoteRequest>,
    releases: Vec<VoteRelease>,
}

/// Leads the parts that fall to this instance until the pool stops.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    let mut last_heartbeat = MonoTime::default();
    let mut last_hand_over = node.clock.now();
    loop {
        let now = node.clock.now();
        let heartbeat = now.since(last_heartbeat) >= node.settings.timing.heartbeat;
        if heartbeat {
            last_heartbeat = now;
            part_creator::create_missing(&node);
            probe(&node, now);
        }
        let may_hand_over = now.since(last_hand_over) >= HAND_OVER_INTERVAL;
        if tick(&node, now, heartbeat, may_hand_over) {
            last_hand_over = now;
        }
        Timer::after(SEEK_INTERVAL).await;
    }
}

fn probe(node: &Arc<InstanceNode>, now: MonoTime) {
    let instances = node.tables.instances.lock().unwrap();
    let mut peers = node.tables.peers.lock().unwrap();
    if let Some(address) = peers.next_probe(&node.id, &instances, now) {
        send(node, address, PeerMail::default());
    }
}

/// View of the fleet for decisions.
pub(crate) fn fleet_view(node: &InstanceNode, now: MonoTime) -> FleetView {
    let instances = node.tables.instances.lock().unwrap();
    let peers = node.tables.peers.lock().unwrap();
    let leaving = node.is_draining();
    peers.view(&node.id, leaving, &instances, now, &node.settings.timing)
}

/// Lets each part move on; true when one began to be handed over.
fn tick(node: &Arc<InstanceNode>, now: MonoTime, heartbeat: bool, may_hand_over: bool) -> bool {
    let mut fleet = fleet_view(node, now);
    fleet.may_hand_over = may_hand_over;
    let mut handed = false;
    let mut steps = Vec::new();
    {
        let mut electors = node.tables.electors.lock().unwrap();
        for elector in electors.values_mut() {
            if node.is_draining() {
                elector.leave();
            }
            if heartbeat || elector.is_due(now) {
                elector.tick(now, &fleet);
            }
            let taken = elector.take_steps();
            let gives = |step: &ElectionStep| matches!(step, ElectionStep::Write(record) if record.leader != node.id);
            if taken.iter().any(gives) && !node.is_draining() {
                handed = true;
                fleet.may_hand_over = false;
            }
            steps.extend(taken);
        }
        sync_led(node, &electors, now);
    }
    execute_steps(node, steps);
    handed
}

/// Brings the led parts in line with the authority held.
fn sync_led(node: &InstanceNode, electors: &IndexMap<PartId, LeaderElector>, now: MonoTime) {
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

/// Waits until the draining instance leads no part; after a bound, as while the store is down, the
/// standbys take over without a written record.
pub(crate) async fn hand_over(node: &Arc<InstanceNode>) {
    let bound = node.clock.now().after(HAND_OVER_TIMEOUT);
    let leads = || !node.tables.led_parts.lock().unwrap().is_empty();
    let has_peers = {
        let fleet = fleet_view(node, node.clock.now());
        !fleet.live.is_empty()
    };
    while has_peers && leads() && node.clock.now() < bound {
        Timer::after(SEEK_INTERVAL).await;
    }
    if !has_peers || !leads() {
        return;
    }
    let steps = {
        let mut electors = node.tables.electors.lock().unwrap();
        for elector in electors.values_mut() {
            elector.leave();
            elector.release();
        }
        sync_led(node, &electors, node.clock.now());
        electors
            .values_mut()
            .flat_map(LeaderElector::take_steps)
            .collect()
    };
    execute_steps(node, steps);
    Timer::after(node.settings.timing.heartbeat).await;
}

/// Sends messages and starts writes.
pub(crate) fn execute_steps(node: &Arc<InstanceNode>, steps: Vec<ElectionStep>) {
    let mut mail: IndexMap<InstanceId, PeerMail> = IndexMap::new();
    for step in steps {
        match step {
            ElectionStep::RequestVote(request) => mail
                .entry(request.voter.clone())
                .or_default()
                .requests
                .push(request),
            ElectionStep::ReleaseVote { to, release } => {
                mail.entry(to).or_default().releases.push(release);
            }
            ElectionStep::Write(record) => {
                let node = node.clone();
                let pool = node.pool.clone();
                pool.spawn(async move { record_writer::write(&node, record).await });
            }
        }
    }
    let instances = node.tables.instances.lock().unwrap();
    for (to, mail) in mail {
        if let Some(record) = instances.get(&to.name).filter(|record| record.id == to) {
            send(node, record.peer_address, mail);
        }
    }
}

fn send(node: &Arc<InstanceNode>, address: SocketAddr, mail: PeerMail) {
    let node = node.clone();
    let pool = node.pool.clone();
    pool.spawn(async move { exchange(&node, address, mail).await });
}

async fn exchange(node: &Arc<InstanceNode>, address: SocketAddr, mail: PeerMail) {
    let asked = node.clock.now();
    let wire = LeaseWire {
        requests: mail.requests.iter().map(VoteRequestWire::from).collect(),
        releases: mail.releases.iter().map(VoteReleaseWire::from).collect(),
    };
    let timeout = node.settings.timing.lease;
    let reply = node
        .peers
        .heartbeat(address, PeerBody::Lease(wire), timeout)
        .await;
    let Ok(PeerBody::LeaseReply(reply)) = reply else {
        return;
    };
    let now = node.clock.now();
    if let Ok(id) = reply.instance.parse() {
        node.tables.peers.lock().unwrap().heard(id, now);
    }
    let fleet = fleet_view(node, now);
    let mut steps = Vec::new();
    for (request, wire) in mail.requests.iter().zip(reply.replies) {
        let Ok(reply) = VoteReply::try_from(wire) else {
            continue;
        };
        if let Some(record) = reply.record.clone() {
            node.tables.learn_part(record, now);
        }
        let mut electors = node.tables.electors.lock().unwrap();
        if let Some(elector) = electors.get_mut(&request.part) {
            elector.handle_reply(request, reply, asked, now, &fleet);
            steps.extend(elector.take_steps());
        }
    }
    sync_led(node, &node.tables.electors.lock().unwrap(), now);
    execute_steps(node, steps);
}

/// Answers another instance's requests for votes.
pub(crate) fn answer(node: &Arc<InstanceNode>, wire: LeaseWire) -> LeaseReplyWire {
    let now = node.clock.now();
    for release in wire.releases.into_iter().map(VoteRelease::try_from) {
        let Ok(release) = release else {
            continue;
        };
        node.tables.learn_part(release.record.clone(), now);
        let mut electors = node.tables.electors.lock().unwrap();
        if let Some(elector) = electors.get_mut(&release.part) {
            elector.handle_release(release, now);
        }
    }
    let replies = wire.requests.into_iter().map(|wire| {
        let request = VoteRequest::try_from(wire).ok()?;
        if let Some(record) = request.record.clone() {
            node.tables.learn_part(record, now);
        }
        let mut electors = node.tables.electors.lock().unwrap();
        let elector = electors.get_mut(&request.part)?;
        Some(VoteReplyWire::from(&elector.handle_request(request, now)))
    });
    let replies = replies.map(Option::unwrap_or_default).collect();
    let steps = {
        let mut electors = node.tables.electors.lock().unwrap();
        sync_led(node, &electors, now);
        electors
            .values_mut()
            .flat_map(LeaderElector::take_steps)
            .collect()
    };
    execute_steps(node, steps);
    LeaseReplyWire {
        replies,
        instance: node.id.to_string(),
    }
}
