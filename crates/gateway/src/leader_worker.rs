//! Leads the keys of the services: takes over leadership, renews grants and moves ranges.

use crate::{
    end_detection, key_exclusions, move_planner, order_sender, prelude::*, record_restorer,
    record_writer,
};

/// Longest time between two cycles.
const MAX_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two cycles.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// State that the worker of one service keeps between cycles.
pub(crate) struct LeaderLoopState {
    /// Time of the last plan of moves.
    pub(crate) planned_at: MonoTime,
    /// Time of the last attempt to take over.
    pub(crate) store_asked_at: MonoTime,
    /// Servers of the last plan.
    pub(crate) planned_servers: Vec<ServerIncarnation>,
    /// Time since which those servers are the same.
    pub(crate) servers_unchanged_since: MonoTime,
    /// Whether this instance led the keys in the last cycle.
    was_leader: bool,
    /// Servers that get no keys.
    pub(crate) exclusions: ExclusionTable,
    /// Time since which the store lacks the known record.
    restore_due_since: Option<MonoTime>,
    /// Term in which this instance last had the authority to send orders, until it loses it.
    authorized_term: Option<u64>,
}

impl LeaderLoopState {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            planned_at: now,
            store_asked_at: MonoTime::default(),
            planned_servers: Vec::new(),
            servers_unchanged_since: now,
            was_leader: false,
            exclusions: ExclusionTable::default(),
            restore_due_since: None,
            authorized_term: None,
        }
    }
}

/// Starts a worker for each keyed service as soon as it is known.
pub(crate) async fn run(node: Arc<GatewayNode>) {
    let mut known: Vec<String> = Vec::new();
    loop {
        for service in node.keyed_services() {
            if !known.contains(&service) {
                known.push(service.clone());
                let worker_node = node.clone();
                node.workers.spawn_restarting("leader", move || {
                    lead_service(worker_node.clone(), service.clone())
                });
            }
        }
        let changed = node.keys_changed.listen();
        future::or(changed, async {
            Timer::after(Duration::from_secs(1)).await;
        })
        .await;
    }
}

async fn lead_service(node: Arc<GatewayNode>, service: String) {
    let mut state = LeaderLoopState::new(node.now());
    loop {
        let due = node.order_finished.listen();
        let changed = node.keys_changed.listen();
        run_cycle(&node, &service, &mut state).await;
        Timer::after(MIN_INTERVAL).await;
        future::or(future::or(due, changed), async {
            Timer::after(MAX_INTERVAL).await;
        })
        .await;
    }
}

pub(crate) async fn run_cycle(node: &Arc<GatewayNode>, service: &str, state: &mut LeaderLoopState) {
    let now = node.now();
    let era = node.store.era().number;
    let (leads, needs_restore) = node.with_key_view(service, |view| {
        view.leader.learn_era(era);
        (view.leader.is_leader(), view.leader.needs_restore())
    });
    let restore_due_since = state.restore_due_since.unwrap_or(now);
    state.restore_due_since = needs_restore.then_some(restore_due_since);
    if leads && !state.was_leader {
        key_exclusions::clear(node, service, &mut state.exclusions);
    }
    state.was_leader = leads;
    match leads {
        false => consider_takeover(node, service, state).await,
        true => {
            log_authority(node, service, state);
            end_detection::detect(node, service);
            send_due_orders(node, service);
            // Renewals fall due while a write of the record waits for the store.
            let writes = async {
                record_restorer::restore(node, service, state).await;
                move_planner::plan(node, service, state).await;
            };
            future::or(writes, renew_at_intervals(node, service)).await;
        }
    }
}

/// Logs the beginning and the end of this leader's authority to send orders.
fn log_authority(node: &GatewayNode, service: &str, state: &mut LeaderLoopState) {
    let now = node.now();
    let (term, age, supporters) = node.with_key_view(service, |view| {
        let record = view.leader.record().map(|(record, _)| record);
        let has_authority = view.leader.has_authority(now);
        let term = record.filter(|_| has_authority).map(|record| record.term);
        let supporters = record.map_or(0, |record| record.supporters.len());
        (term, view.leader.confirmation_age(now), supporters)
    });
    if std::mem::replace(&mut state.authorized_term, term) == term {
        return;
    }
    let has_authority = term.is_some();
    let confirmed_age_ms = age.as_millis() as u64;
    log::info!(service, has_authority, confirmed_age_ms, supporters; "authority of this leader");
}

/// Time between two attempts to take over. Instances that are not among the few that act for all
/// others try rarely while the store is unavailable to them.
pub(crate) fn takeover_pause(is_store_unavailable: bool, is_exchanging: bool) -> Duration {
    match (is_store_unavailable, is_exchanging) {
        (false, _) => Duration::from_millis(400),
        (true, true) => Duration::from_millis(1_500),
        (true, false) => Duration::from_secs(5),
    }
}

/// Takes over leadership when there is no key record or its leader is lost.
async fn consider_takeover(node: &Arc<GatewayNode>, service: &str, state: &mut LeaderLoopState) {
    let now = node.now();
    let is_exchanging = node.peers.lock().is_exchanging();
    let pause = takeover_pause(node.store.health.is_unavailable(), is_exchanging);
    if node.is_stopping() || now.since(state.store_asked_at) < pause {
        return;
    }
    let known = node.with_key_view(service, |view| {
        view.leader
            .record()
            .map(|(record, revision)| (record.clone(), revision))
    });
    let led_since = node.with_key_view(service, |view| view.led_since);
    let leader = match &known {
        Some((record, _)) => record.leader.clone(),
        None => InstanceIncarnation {
            instance: String::new(),
            incarnation: 0,
        },
    };
    let view =
        node.peers
            .lock()
            .leader_view(service, &leader, led_since, &node.own_incarnation, now);
    // A leader that leaves is followed by an instance that reaches the servers.
    let view = match node.reach.lock().is_any_lost() {
        true => LeaderView {
            is_leaving: false,
            hears_peers: false,
            ..view
        },
        false => view,
    };
    // A leader that is alive writes its record again first.
    let is_restoring = |since: MonoTime| now.since(since) < record_restorer::LEADER_TIME;
    let view = match state.restore_due_since.is_some_and(is_restoring) {
        true => LeaderView {
            confirmation_age: Duration::ZERO,
            ..view
        },
        false => view,
    };
    if view.next_step() == TakeoverStep::Follow {
        return;
    }
    state.store_asked_at = now;
    log::info!(
        service,
        leader = leader.instance.as_str(),
        silence_ms = view.silence.as_millis() as u64,
        confirmed_age_ms = view.confirmation_age.as_millis() as u64,
        rank = view.rank,
        is_leaving = view.is_leaving;
        "taking over the keys"
    );
    match known {
        Some(_) if state.restore_due_since.is_some() => {
            record_restorer::take_over(node, service).await;
        }
        Some((record, revision)) => {
            let next = record.with_leader(node.own_incarnation.clone());
            record_writer::write(node, service, &next, Some(revision), "take-over").await;
        }
        None => {
            let record =
                node.with_key_view(service, |view| view.leader.takeover_record(service, None));
            record_writer::write(node, service, &record, None, "create").await;
        }
    }
}

/// Starts due renewals again and again; never completes.
async fn renew_at_intervals(node: &Arc<GatewayNode>, service: &str) {
    loop {
        Timer::after(MAX_INTERVAL).await;
        send_due_renewals(node, service);
    }
}

/// Starts the due renewals and move steps as tasks.
fn send_due_orders(node: &Arc<GatewayNode>, service: &str) {
    let now = node.now();
    let steps = node.with_key_view(service, |view| view.leader.due_move_steps(now));
    for step in steps {
        let work = order_sender::run_move_step(node.clone(), service.into(), step);
        node.workers.spawn(work);
    }
    send_due_renewals(node, service);
}

/// Starts the due renewals as tasks, one for each owner.
fn send_due_renewals(node: &Arc<GatewayNode>, service: &str) {
    let now = node.now();
    let due = node.with_key_view(service, |view| view.leader.due_renewals(now));
    let mut by_owner: IndexMap<ServerIncarnation, Vec<KeyRange>> = IndexMap::new();
    for range in due {
        by_owner.entry(range.owner.clone()).or_default().push(range);
    }
    for (owner, ranges) in by_owner {
        let Some(server) = node.server(&owner) else {
            continue;
        };
        if let Some(lock) = server.try_lock_orders() {
            let work = order_sender::renew_ranges(node.clone(), service.into(), lock, ranges);
            node.workers.spawn(work);
        }
    }
}
