//! Plans which keys move to other servers, by measured load and service times.

use crate::{
    key_exclusions, key_view::PublishedDelta, leader_worker::LeaderLoopState, order_probes,
    prelude::*, record_writer, warmup_worker,
};

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(300);
/// The same while ranges need new fences: their grants expire soon.
const RAISE_INTERVAL: Duration = Duration::from_millis(60);
/// Time for which the server list must stay unchanged before keys are assigned for the first time.
const DISCOVERY_SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Weight of the service's mean response time in the estimate of a server's service time, in
/// samples.
const PRIOR_SAMPLES: f64 = 6.0;
/// Share of its capacity that is planned for a server while it warms up.
const WARMUP_CAPACITY_SHARE: f64 = 0.5;
/// Number of instances that a server must want no requests from before its keys move.
const MIN_REST_REPORTS: usize = 2;
/// Shortest rest for which keys move: moving them takes about half of that time.
const MIN_REST: Duration = Duration::from_secs(1);
/// Time after a rest until the server may get keys again.
const RETURN_DELAY: Duration = Duration::from_secs(3);
/// Capacity planned for a server that accepts no requests, in requests per second.
const MIN_CAPACITY: f64 = 0.1;

/// Writes a key record that settles finished moves and starts those that are due.
pub(crate) async fn plan(node: &Arc<GatewayNode>, service: &str, state: &mut LeaderLoopState) {
    let now = node.now();
    let (is_raise_due, needs_restore) = node.with_key_view(service, |view| {
        (view.is_raise_due, view.leader.needs_restore())
    });
    let interval = match is_raise_due {
        true => RAISE_INTERVAL,
        false => PLAN_INTERVAL,
    };
    if now.since(state.planned_at) < interval || node.store.health.is_unavailable() {
        return;
    }
    // What this instance takes for the state of servers may be that of its own links.
    if node.reach.lock().is_any_lost() {
        return;
    }
    // A plan is based on what the store has.
    if needs_restore {
        return;
    }
    state.planned_at = now;
    key_exclusions::update(node, service, &mut state.exclusions);
    let servers = eligible_servers(node, service, now);
    let incarnations: Vec<ServerIncarnation> = servers
        .iter()
        .map(|server| server.incarnation.clone())
        .collect();
    if incarnations != state.planned_servers {
        state.planned_servers = incarnations;
        state.servers_unchanged_since = now;
    }
    order_probes::send_due(node, service, state);
    let supporters = due_supporters(node, service, now);
    let usable = node.usable_servers(service);
    let owners: IndexMap<&ServerIncarnation, &ServerRuntime> = usable
        .iter()
        .map(|server| (server.incarnation(), server.as_ref()))
        .collect();
    let planned = node.with_key_view(service, |view| {
        view.is_raise_due = false;
        let (record, revision) = view.leader.record()?;
        if !view.leader.has_authority(now) {
            return None;
        }
        let weights = view.sample_window.weights(now);
        let is_early =
            now.since(state.servers_unchanged_since) < DISCOVERY_SETTLE_TIME && weights.is_empty();
        if record.ranges.is_empty() && is_early {
            return None;
        }
        let mut delta = view.leader.settled_moves().unwrap_or_default();
        delta.raises = ranges_to_raise(record, &owners, &state.planned_servers);
        let settled = delta.apply(record);
        // The owner of a range that is raised now may hold it under the fence before.
        let is_free = |incarnation: &ServerIncarnation, fence| {
            fence <= record.last_fence && view.leader.has_no_grant(incarnation, fence, now)
        };
        let plan = KeyPlanner::default().plan(&settled, &servers, &weights, is_free);
        delta.clears_former = !record.former.is_empty() && now >= view.leader.former_grants_until();
        delta.supporters = supporters.filter(|supporters| *supporters != record.supporters);
        match plan {
            Some(KeyPlan::Initial(assigned)) => return Some((assigned, revision, None)),
            Some(KeyPlan::Change(change)) => {
                delta.moves = change.moves;
                delta.merges = change.merges;
            }
            None => {}
        }
        // An empty delta is still written while an earlier write is unconfirmed: both replace the
        // same revision, so once the store has applied the new write, it rejects the earlier one.
        if delta.is_empty() && !view.leader.has_pending_write() {
            return None;
        }
        let mut next = delta.apply(record);
        if delta.is_empty() {
            next.skip_fence();
        }
        view.leader.begin_write(&next);
        Some((next, revision, (!delta.is_empty()).then_some(delta)))
    });
    let Some((record, revision, delta)) = planned else {
        return;
    };
    let written = record_writer::write(node, service, &record, Some(revision), "plan").await;
    if let (Some(revision_after), Some(delta)) = (written, delta) {
        let published = PublishedDelta {
            base_revision: revision,
            revision: revision_after,
            delta,
            at: node.now(),
        };
        node.with_key_view(service, |view| view.published_deltas.push(published));
        node.heartbeat_due.notify(usize::MAX);
    }
}

/// First keys of the ranges that their owners keep and can be granted again under a new fence only.
///
/// Ranges of other owners than the `planned` servers move to these. Without any, all ranges stay where
/// they are, and a grant under a new fence is the only order that can show an owner as responsive again.
fn ranges_to_raise(
    record: &KeyRecord,
    owners: &IndexMap<&ServerIncarnation, &ServerRuntime>,
    planned: &[ServerIncarnation],
) -> Vec<u16> {
    let ranges = record.ranges.iter();
    let needs_new_fence = |range: &&KeyRange| {
        let owner = owners.get(&range.owner);
        owner.is_some_and(|owner| owner.grants.needs_new_fence(range.fence))
    };
    ranges
        .filter(needs_new_fence)
        .filter(|range| planned.is_empty() || planned.contains(&range.owner))
        .map(|range| range.first)
        .collect()
}

/// Supporters that the leader of a service should have, once the other instances have had time to
/// tell whom they follow.
fn due_supporters(
    node: &GatewayNode,
    service: &str,
    now: MonoTime,
) -> Option<Vec<InstanceIncarnation>> {
    /// Time within which every instance that follows the leader has told so.
    const FOLLOW_TIME: Duration = Duration::from_millis(500);
    /// Time without the word of a supporter after which another one takes its place.
    const REPLACE_AFTER: Duration = Duration::from_secs(2);
    let (current, supporting) = node.with_key_view(service, |view| {
        let (record, _) = view.leader.record()?;
        if now.since(view.led_since) < FOLLOW_TIME {
            return None;
        }
        let supporting = view.leader.supporters_since(now.before(REPLACE_AFTER));
        let supporting: Vec<InstanceIncarnation> = supporting.into_iter().cloned().collect();
        Some((record.supporters.clone(), supporting))
    })?;
    let peers = node.peers.lock();
    let candidates = peers.supporter_candidates(&supporting);
    Some(SupporterSelection::select(&current, &candidates))
}

/// Keeps keys away from servers that want no requests from several instances.
pub(crate) fn record_rests(node: &GatewayNode, servers: &ServerList, now: MonoTime) {
    let peers = node.peers.lock();
    let required = MIN_REST_REPORTS.min(peers.live_count(now) as usize);
    for server in servers.iter() {
        let own = server.load.lock().rest_left(now);
        let (told, reporters) = peers.rest_of(server.incarnation(), now);
        let reports = reporters + usize::from(!own.is_zero());
        let left = own.max(told);
        if reports >= required && left >= MIN_REST {
            server.avoid_keys_until(now.after(left + RETURN_DELAY));
        }
    }
}

/// Whether at least half of the servers remain without those that want no requests.
fn can_avoid_resting(servers: &ServerList, now: MonoTime) -> bool {
    let resting = servers.iter().filter(|server| server.avoids_keys(now));
    resting.count() * 2 <= servers.len()
}

/// Servers that may own keys, with the requests per second that each can serve.
pub(crate) fn eligible_servers(
    node: &GatewayNode,
    service: &str,
    now: MonoTime,
) -> Vec<PlannedServer> {
    let mean = node.service(service).mean_response_time();
    let servers = node.usable_servers(service);
    record_rests(node, &servers, now);
    let may_avoid = can_avoid_resting(&servers, now);
    let cold_rate = warmup_worker::cold_rate(node, service);
    let peers = node.peers.lock();
    servers
        .iter()
        .filter(|server| !may_avoid || !server.avoids_keys(now))
        .filter(|server| server.key_exclusion(now).is_none())
        .map(|server| {
            let (own, own_samples) = server.load.lock().service_time();
            let (reported, reported_samples) = peers.service_time_of(server.incarnation());
            let own_samples = f64::from(own_samples);
            let reported_samples = f64::from(reported_samples);
            let service_time =
                (own * own_samples + reported * reported_samples + mean * PRIOR_SAMPLES)
                    / (own_samples + reported_samples + PRIOR_SAMPLES);
            let share = if server.is_warming_up(cold_rate.is_some(), now) {
                WARMUP_CAPACITY_SHARE
            } else {
                1.0
            };
            let capacity = f64::from(server.entry.slots) / service_time.max(0.001) * share;
            let limit = server.quota.lock().per_second(cold_rate, now);
            PlannedServer {
                incarnation: server.incarnation().clone(),
                capacity: limit.map_or(capacity, |limit| capacity.min(limit.max(MIN_CAPACITY))),
                limit: limit.map(|limit| limit * KeyView::load_window_s()),
            }
        })
        .collect()
}
