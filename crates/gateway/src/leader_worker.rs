//! Leading the keys of the services: who orders, what is ordered, what is planned.

use crate::{move_planner, order_sender, prelude::*, record_writer};

/// Longest time between two looks.
const INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two looks.
const LEAST_INTERVAL: Duration = Duration::from_millis(10);

/// What one service's worker remembers between two looks.
pub(crate) struct LeadMemory {
    pub(crate) planned_at: MonoTime,
    pub(crate) asked_at: MonoTime,
    pub(crate) servers: Vec<ServerIncarnation>,
    pub(crate) servers_since: MonoTime,
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
        let due = node.order_finished.listen();
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
    let leads = node.with_key_view(service, |view| view.leader.is_leader());
    match leads {
        false => consider_takeover(node, service, memory).await,
        true => {
            note_ends(node, service);
            record_writer::confirm(node, service, memory);
            order(node, service);
            move_planner::plan(node, service, memory).await;
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
    let pause = match node.store.health.is_unavailable() {
        true => TRY_LOST_EVERY,
        false => TRY_EVERY,
    };
    if node.is_stopping() || now.since(memory.asked_at) < pause {
        return;
    }
    let held = node.with_key_view(service, |view| {
        view.leader
            .record()
            .map(|(record, revision)| (record.clone(), revision))
    });
    let led_since = node.with_key_view(service, |view| view.led_since);
    let mark = match &held {
        Some((record, _)) => record.leader.clone(),
        None => InstanceIncarnation {
            instance: String::new(),
            incarnation: 0,
        },
    };
    let view = node.peers.lock().unwrap().leader_view(
        service,
        &mark,
        led_since,
        &node.own_incarnation,
        now,
    );
    if view.next_step() == TakeoverStep::Follow {
        return;
    }
    memory.asked_at = now;
    log::info!(
        service,
        leader = mark.instance.as_str(),
        silence_ms = view.silence.as_millis() as u64,
        confirmed_age_ms = view.confirmation_age.as_millis() as u64,
        rank = view.rank,
        is_leaving = view.is_leaving;
        "taking over the keys"
    );
    match held {
        Some((record, revision)) => {
            let next = record.with_leader(node.own_incarnation.clone());
            record_writer::write(node, service, &next, Some(revision), "take-over").await;
        }
        None => {
            let record = KeyRecord::new(service, node.own_incarnation.clone());
            record_writer::write(node, service, &record, None, "create").await;
        }
    }
}

/// Notes servers whose life has ended, and former leaders that order no more.
fn note_ends(node: &GatewayNode, service: &str) {
    let now = node.now();
    let holders: Vec<ServerIncarnation> = node.with_key_view(service, |view| {
        let Some((record, _)) = view.leader.record() else {
            return Vec::new();
        };
        let mut marks: Vec<ServerIncarnation> = Vec::new();
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
        let end = end_of(node, &mark);
        let is_new = node.with_key_view(service, |view| {
            let is_new = !view.leader.has_ended(&mark);
            match end {
                IncarnationStatus::Alive => return false,
                IncarnationStatus::Replaced => view.leader.mark_replaced(&mark),
                IncarnationStatus::Dead => view.leader.mark_dead(&mark, now),
            }
            is_new
        });
        if is_new {
            let mark = mark.to_string();
            log::info!(service, server = mark.as_str(), end = end.label(); "server has ended");
        }
    }
    let former = node.with_key_view(service, |view| {
        let (record, _) = view.leader.record()?;
        let is_due = now < view.leader.former_grants_until();
        is_due.then(|| (record.former.clone(), record.term))
    });
    let Some((former, term)) = former else { return };
    let have_stopped = {
        let peers = node.peers.lock().unwrap();
        former.iter().all(|mark| {
            mark.instance == node.own_incarnation.instance || peers.has_stopped(service, mark, term)
        })
    };
    if have_stopped {
        node.with_key_view(service, |view| view.leader.former_leaders_stopped(now));
    }
}

/// How a holder's life ended, as far as this instance can tell.
fn end_of(node: &GatewayNode, mark: &ServerIncarnation) -> IncarnationStatus {
    let server = node.server(mark);
    let address = server.as_ref().map(|server| server.entry.address);
    let end = node
        .roster
        .lock()
        .unwrap()
        .incarnation_status(mark, address);
    match server.is_some_and(|server| server.has_ended()) {
        true if end == IncarnationStatus::Alive => IncarnationStatus::Dead,
        _ => end,
    }
}

/// Sends what is due.
fn order(node: &Arc<GatewayNode>, service: &str) {
    let now = node.now();
    let (due, steps) = node.with_key_view(service, |view| {
        (
            view.leader.due_renewals(now),
            view.leader.due_move_steps(now),
        )
    });
    for step in steps {
        let work = order_sender::step(node.clone(), service.into(), step);
        node.workers.spawn(work);
    }
    let mut by_owner: IndexMap<ServerIncarnation, Vec<KeyRange>> = IndexMap::new();
    for range in due {
        by_owner.entry(range.owner.clone()).or_default().push(range);
    }
    for (owner, ranges) in by_owner {
        let Some(server) = node.server(&owner) else {
            continue;
        };
        if server.try_lock_orders() {
            let work = order_sender::renew(node.clone(), service.into(), server, ranges);
            node.workers.spawn(work);
        }
    }
}
