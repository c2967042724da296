//! Leading the keys of the services: who orders, what is ordered, what is planned.

use crate::{key_view::ToldDelta, lead_orders, prelude::*, record_worker};

/// Longest time between two looks.
const INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two looks.
const LEAST_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two plans of moves.
const PLAN_EVERY: Duration = Duration::from_millis(300);
/// Time between two confirmations by the store.
const CONFIRM_EVERY: Duration = Duration::from_millis(1_200);
/// Time for which the list of servers must stay the same before keys are first dealt out.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Weight of the service's mean pace against samples of one server.
const PRIOR_SAMPLES: f64 = 6.0;
/// Share of its speed at which a server counts that has just started.
const COLD_SHARE: f64 = 0.5;

/// What one service's worker remembers between two looks.
struct LeadMemory {
    planned_at: MonoTime,
    asked_at: MonoTime,
    servers: Vec<ServerMark>,
    servers_since: MonoTime,
}

/// Leads each keyed service as soon as it is known.
pub(crate) async fn run(node: Arc<GatewayNode>) {
    let mut known: Vec<String> = Vec::new();
    loop {
        for service in node.keyed_services() {
            if !known.contains(&service) {
                known.push(service.clone());
                node.workers.spawn(lead(node.clone(), service));
            }
        }
        let changed = node.keys_changed.listen();
        future::or(changed, async {
            Timer::after(Duration::from_secs(1)).await;
        })
        .await;
    }
}

async fn lead(node: Arc<GatewayNode>, service: String) {
    let now = node.now();
    let mut memory = LeadMemory {
        planned_at: now,
        asked_at: MonoTime::default(),
        servers: Vec::new(),
        servers_since: now,
    };
    loop {
        let due = node.lead_due.listen();
        let changed = node.keys_changed.listen();
        look(&node, &service, &mut memory).await;
        Timer::after(LEAST_INTERVAL).await;
        future::or(future::or(due, changed), async {
            Timer::after(INTERVAL).await;
        })
        .await;
    }
}

async fn look(node: &Arc<GatewayNode>, service: &str, memory: &mut LeadMemory) {
    let leads = node.with_keys(service, |view| view.lead.leads());
    match leads {
        false => consider_takeover(node, service, memory).await,
        true => {
            note_ends(node, service);
            confirm(node, service, memory).await;
            order(node, service);
            plan(node, service, memory).await;
        }
    }
}

/// Takes over when there is no record, or its leader is lost.
async fn consider_takeover(node: &Arc<GatewayNode>, service: &str, memory: &mut LeadMemory) {
    /// Pause between two tries to take over.
    const TRY_EVERY: Duration = Duration::from_millis(400);
    /// The same while the store does not answer.
    const TRY_LOST_EVERY: Duration = Duration::from_millis(1_500);
    let now = node.now();
    let pause = match node.store.health.is_lost() {
        true => TRY_LOST_EVERY,
        false => TRY_EVERY,
    };
    if node.is_stopping() || now.since(memory.asked_at) < pause {
        return;
    }
    let held = node.with_keys(service, |view| {
        view.lead
            .record()
            .map(|(record, revision)| (record.clone(), revision))
    });
    let led_since = node.with_keys(service, |view| view.led_since);
    let mark = match &held {
        Some((record, _)) => record.leader.clone(),
        None => LeaderMark {
            instance: String::new(),
            incarnation: 0,
        },
    };
    let view = node
        .peers
        .lock()
        .unwrap()
        .leader_view(service, &mark, led_since, &node.me, now);
    if view.step() == TakeoverStep::Follow {
        return;
    }
    memory.asked_at = now;
    log::info!(
        service,
        leader = mark.instance.as_str(),
        silence_ms = view.silence.as_millis() as u64,
        confirmed_age_ms = view.confirmed_age.as_millis() as u64,
        rank = view.rank,
        is_stopping = view.is_stopping;
        "taking over the keys"
    );
    match held {
        Some((record, revision)) => {
            let next = record.led_by(node.me.clone());
            write(node, service, &next, Some(revision), "take-over").await;
        }
        None => {
            let record = KeyRecord::new(service, node.me.clone());
            write(node, service, &record, None, "create").await;
        }
    }
}

/// Notes servers whose life has ended, and former leaders that order no more.
fn note_ends(node: &GatewayNode, service: &str) {
    let now = node.now();
    let holders: Vec<ServerMark> = node.with_keys(service, |view| {
        let Some((record, _)) = view.lead.record() else {
            return Vec::new();
        };
        let mut marks: Vec<ServerMark> = Vec::new();
        for range in &record.ranges {
            marks.push(range.owner.clone());
            if let RangeState::Moving {
                previous: Some(holder),
            } = &range.state
            {
                marks.push(holder.clone());
            }
        }
        marks.sort();
        marks.dedup();
        marks
    });
    for mark in holders {
        let is_replaced = {
            let roster = node.roster.lock().unwrap();
            let address = node.server(&mark).map(|server| server.entry.address);
            roster.entries().any(|entry| {
                let is_later = entry.mark.born > mark.born;
                is_later && (entry.mark.id == mark.id || Some(entry.address) == address)
            })
        };
        let has_ended = node.server(&mark).is_some_and(|server| server.has_ended());
        if !is_replaced && !has_ended {
            continue;
        }
        let is_new = node.with_keys(service, |view| {
            let is_new = !view.lead.is_dead(&mark);
            view.lead.died(&mark, now);
            is_new
        });
        if is_new {
            log::info!(service, server = mark.to_string().as_str(), is_replaced; "server has ended");
        }
    }
    let former = node.with_keys(service, |view| {
        let (record, _) = view.lead.record()?;
        let is_due = now < view.lead.inherited_until();
        is_due.then(|| (record.former.clone(), record.term))
    });
    let Some((former, term)) = former else { return };
    let have_stopped = {
        let peers = node.peers.lock().unwrap();
        former
            .iter()
            .all(|mark| mark.instance == node.me.instance || peers.has_stopped(service, mark, term))
    };
    if have_stopped {
        node.with_keys(service, |view| view.lead.former_stopped(now));
    }
}

/// Has the store confirm from time to time that this instance leads.
async fn confirm(node: &Arc<GatewayNode>, service: &str, memory: &mut LeadMemory) {
    let now = node.now();
    let age = node.with_keys(service, |view| view.lead.confirmed_age(now));
    if age < CONFIRM_EVERY || now.since(memory.asked_at) < CONFIRM_EVERY / 2 {
        return;
    }
    memory.asked_at = now;
    let node = node.clone();
    let service = service.to_string();
    // Apart from the worker, which has to go on renewing while the store is silent.
    node.workers.clone().spawn(async move {
        refresh(&node, &service).await;
    });
}

/// Reads the record, and takes it for a confirmation if it names this instance.
async fn refresh(node: &GatewayNode, service: &str) {
    let asked_at = node.now();
    let name = format!("{}{service}", KeyView::PREFIX);
    let Ok(Some(object)) = node.store.read(ObjectKind::Records, &name).await else {
        return;
    };
    let leads = record_worker::read_keys(&object).is_ok_and(|record| record.leader == node.me);
    let event = ObjectEvent {
        object,
        is_removed: false,
    };
    record_worker::take(node, &event);
    if leads {
        node.with_keys(service, |view| view.lead.confirm(asked_at));
    }
}

/// Sends what is due.
fn order(node: &Arc<GatewayNode>, service: &str) {
    let now = node.now();
    let (due, steps) = node.with_keys(service, |view| {
        (view.lead.due_renewals(now), view.lead.move_steps(now))
    });
    for step in steps {
        let work = lead_orders::step(node.clone(), service.into(), step);
        node.workers.spawn(work);
    }
    let mut by_owner: IndexMap<ServerMark, Vec<KeyRange>> = IndexMap::new();
    for range in due {
        by_owner.entry(range.owner.clone()).or_default().push(range);
    }
    for (owner, ranges) in by_owner {
        let Some(server) = node.server(&owner) else {
            continue;
        };
        // While the store is away nothing else can be decided than to go on.
        if server.is_unsure(now) && !node.store.health.is_lost() {
            continue;
        }
        if server.take_order_turn() {
            let work = lead_orders::renew(node.clone(), service.into(), server, ranges);
            node.workers.spawn(work);
        }
    }
}

/// Writes down which moves have ended and which are due.
async fn plan(node: &Arc<GatewayNode>, service: &str, memory: &mut LeadMemory) {
    let now = node.now();
    if now.since(memory.planned_at) < PLAN_EVERY || node.store.health.is_lost() {
        return;
    }
    memory.planned_at = now;
    let servers = planned_servers(node, service, now);
    let marks: Vec<ServerMark> = servers.iter().map(|server| server.mark.clone()).collect();
    if marks != memory.servers {
        memory.servers = marks;
        memory.servers_since = now;
    }
    let planned = node.with_keys(service, |view| {
        let (record, revision) = view.lead.record()?;
        if !view.lead.may_order(now) {
            return None;
        }
        let weights = view.window.weights(now);
        let is_early = now.since(memory.servers_since) < SETTLE_TIME && weights.is_empty();
        if record.ranges.is_empty() && is_early {
            return None;
        }
        let mut delta = view.lead.settled().unwrap_or_default();
        let settled = delta.apply(record);
        let is_free = |mark: &ServerMark, fence| view.lead.is_free(mark, fence, now);
        let plan = KeyPlanner::default().plan(&settled, &servers, &weights, is_free);
        delta.forgets_former = !record.former.is_empty() && now >= view.lead.inherited_until();
        match plan {
            Some(KeyPlan::Deal(dealt)) => return Some((dealt, revision, None)),
            Some(KeyPlan::Change(moves)) => delta.moves = moves.moves,
            None => {}
        }
        (!delta.is_empty()).then(|| (delta.apply(record), revision, Some(delta)))
    });
    let Some((record, revision, delta)) = planned else {
        return;
    };
    let written = write(node, service, &record, Some(revision), "plan").await;
    if let (Some(revision_after), Some(delta)) = (written, delta) {
        let told = ToldDelta {
            base: revision,
            revision: revision_after,
            delta,
            at: node.now(),
        };
        node.with_keys(service, |view| view.told_deltas.push(told));
        node.beat_due.notify(usize::MAX);
    }
}

/// Servers that may own keys, with the requests a second that each can serve.
fn planned_servers(node: &GatewayNode, service: &str, now: MonoTime) -> Vec<PlannedServer> {
    let mean = node.service(service).pace();
    let servers = node.usable_servers(service);
    let peers = node.peers.lock().unwrap();
    servers
        .iter()
        .filter(|server| !server.is_silent(now) && !server.is_unsure(now) && !server.has_ended())
        .map(|server| {
            let (own, own_samples) = server.load.lock().unwrap().service_time();
            let (told, told_samples) = peers.pace_of(server.mark());
            let own_samples = f64::from(own_samples);
            let told_samples = f64::from(told_samples);
            let pace = (own * own_samples + told * told_samples + mean * PRIOR_SAMPLES)
                / (own_samples + told_samples + PRIOR_SAMPLES);
            let share = if now < server.cold_until {
                COLD_SHARE
            } else {
                1.0
            };
            PlannedServer {
                mark: server.mark().clone(),
                capacity: f64::from(server.entry.slots) / pace.max(0.001) * share,
            }
        })
        .collect()
}

/// Writes a record at a revision, or creates it, and takes in what the store then holds; gives the
/// revision that was written.
async fn write(
    node: &Arc<GatewayNode>,
    service: &str,
    record: &KeyRecord,
    revision: Option<u64>,
    reason: &'static str,
) -> Option<u64> {
    let asked_at = node.now();
    let name = format!("{}{service}", KeyView::PREFIX);
    let spec = match RecordBody::write(&RecordWire::from(record)) {
        Ok(spec) => spec,
        Err(fault) => {
            log::error!(service, cause = fault.to_string().as_str(); "key record not written");
            return None;
        }
    };
    let request = match revision {
        Some(revision) => StoreRequest::replace(ObjectKind::Records, &name, revision, &spec),
        None => StoreRequest::create(ObjectKind::Records, &name, &spec),
    };
    let result = node.store.write(request).await;
    let (outcome, cause) = match &result {
        Ok(WriteAnswer::Written(object)) => {
            record_worker::adopt(node, service, record.clone(), object.revision);
            if record.leader == node.me {
                node.with_keys(service, |view| view.lead.confirm(asked_at));
            }
            ("written", String::new())
        }
        Ok(WriteAnswer::Conflict) => ("conflict", String::new()),
        Ok(WriteAnswer::Missing) => ("missing", String::new()),
        Ok(WriteAnswer::Refused(status)) => ("refused", status.to_string()),
        Ok(WriteAnswer::Unclear(cause)) => ("unclear", cause.clone()),
        Err(error) => ("lost", error.to_string()),
    };
    metrics::counter!(RECORD_WRITES, "reason" => reason, "result" => outcome).increment(1);
    if node.log.admit("record", asked_at) {
        let moving = record.ranges.iter().filter(|range| !range.is_settled());
        log::info!(
            service,
            reason,
            outcome,
            cause = cause.as_str(),
            revision = revision.unwrap_or_default(),
            term = record.term,
            last_fence = record.last_fence,
            ranges = record.ranges.len(),
            moving = moving.count();
            "key record write"
        );
    }
    if !matches!(
        result,
        Ok(WriteAnswer::Written(_) | WriteAnswer::Refused(_))
    ) {
        refresh(node, service).await;
    }
    match result {
        Ok(WriteAnswer::Written(object)) => Some(object.revision),
        _ => None,
    }
}
