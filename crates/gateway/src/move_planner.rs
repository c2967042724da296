//! Planning which keys move, by measured load and speed.

use crate::{key_view::ToldDelta, leader_worker::LeadMemory, prelude::*, record_writer};

/// Time between two plans of moves.
const PLAN_EVERY: Duration = Duration::from_millis(300);
/// Time for which the list of servers must stay the same before keys are first dealt out.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Weight of the service's mean pace against samples of one server.
const PRIOR_SAMPLES: f64 = 6.0;
/// Share of its speed at which a server counts that has just started.
const COLD_SHARE: f64 = 0.5;

/// Writes down which moves have ended and which are due.
pub(crate) async fn plan(node: &Arc<GatewayNode>, service: &str, memory: &mut LeadMemory) {
    let now = node.now();
    if now.since(memory.planned_at) < PLAN_EVERY || node.store.health.is_unavailable() {
        return;
    }
    memory.planned_at = now;
    let servers = planned_servers(node, service, now);
    let marks: Vec<ServerIncarnation> = servers
        .iter()
        .map(|server| server.incarnation.clone())
        .collect();
    if marks != memory.servers {
        memory.servers = marks;
        memory.servers_since = now;
    }
    let planned = node.with_key_view(service, |view| {
        let (record, revision) = view.leader.record()?;
        if !view.leader.has_authority(now) {
            return None;
        }
        let weights = view.window.weights(now);
        let is_early = now.since(memory.servers_since) < SETTLE_TIME && weights.is_empty();
        if record.ranges.is_empty() && is_early {
            return None;
        }
        let mut delta = view.leader.settled_moves().unwrap_or_default();
        let settled = delta.apply(record);
        let is_free = |mark: &ServerIncarnation, fence| view.leader.has_no_grant(mark, fence, now);
        let plan = KeyPlanner::default().plan(&settled, &servers, &weights, is_free);
        delta.clears_former = !record.former.is_empty() && now >= view.leader.former_grants_until();
        match plan {
            Some(KeyPlan::Initial(dealt)) => return Some((dealt, revision, None)),
            Some(KeyPlan::Change(change)) => {
                delta.moves = change.moves;
                delta.merges = change.merges;
            }
            None => {}
        }
        // A write on the same revision keeps one whose answer was lost from being done later.
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
        let told = ToldDelta {
            base: revision,
            revision: revision_after,
            delta,
            at: node.now(),
        };
        node.with_key_view(service, |view| view.told_deltas.push(told));
        node.heartbeat_due.notify(usize::MAX);
    }
}

/// Servers that may own keys, with the requests a second that each can serve.
fn planned_servers(node: &GatewayNode, service: &str, now: MonoTime) -> Vec<PlannedServer> {
    let mean = node.service(service).mean_response_time();
    let servers = node.usable_servers(service);
    let peers = node.peers.lock().unwrap();
    servers
        .iter()
        .filter(|server| {
            !server.is_unresponsive(now) && !server.is_suspect(now) && !server.has_ended()
        })
        .map(|server| {
            let (own, own_samples) = server.load.lock().unwrap().service_time();
            let (told, told_samples) = peers.pace_of(server.incarnation());
            let own_samples = f64::from(own_samples);
            let told_samples = f64::from(told_samples);
            let pace = (own * own_samples + told * told_samples + mean * PRIOR_SAMPLES)
                / (own_samples + told_samples + PRIOR_SAMPLES);
            let share = if now < server.warmup_ends_at {
                COLD_SHARE
            } else {
                1.0
            };
            PlannedServer {
                incarnation: server.incarnation().clone(),
                capacity: f64::from(server.entry.slots) / pace.max(0.001) * share,
            }
        })
        .collect()
}
