//! Moves of slices: away from lost and leaving servers, to joined ones, and for balance.

use crate::prelude::*;

/// Interval at which servers are looked over.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Slices of a part that move at once while their owner serves.
const MAX_PLANNED_MOVES: usize = PartLayout::SLICES_PER_SERVER;

/// Looks after the servers of led parts until the pool stops.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    loop {
        let now = node.clock.now();
        let led: Vec<PartId> = node
            .tables
            .led_parts
            .lock()
            .unwrap()
            .keys()
            .cloned()
            .collect();
        for part in led {
            look_after(&node, &part, now);
        }
        Timer::after(LOOK_INTERVAL).await;
    }
}

fn look_after(node: &Arc<InstanceNode>, id: &PartId, now: MonoTime) {
    let Some((changes, done)) = wanted(node, id, now) else {
        return;
    };
    let steps = {
        let mut electors = node.tables.electors.lock().unwrap();
        let Some(elector) = electors.get_mut(id) else {
            return;
        };
        let written = elector.change_record(now, |record| {
            record.moving.retain(|range| !done.contains(range));
            SliceAssigner::apply(record, &changes);
        });
        if !written {
            return;
        }
        elector.take_steps()
    };
    let text = format!("{} changes", changes.len());
    node.decisions.record(id, "change slices", text);
    election_worker::execute_steps(node, steps);
}

/// Changes to write now, with the moves that have ended.
fn wanted(
    node: &InstanceNode,
    id: &PartId,
    now: MonoTime,
) -> Option<(Vec<SliceChange>, Vec<SliceRange>)> {
    let timing = node.settings.timing;
    let gate = node.tables.gate.lock().unwrap();
    let head = gate.head()?;
    let exclusive = head.services.get(&id.service)?.kind == ServiceKind::Exclusive;
    let active = head.active_servers(&id.service);
    let led = node.tables.led_parts.lock().unwrap();
    let part = led.get(id).filter(|part| exclusive && !part.frozen)?;
    let in_state = |wanted: ServerState| {
        let active = active.iter().map(|server| &server.name);
        let names = active.filter(|name| part.server_state(name, now, &timing) == wanted);
        names.cloned().collect::<Vec<_>>()
    };
    let serving = in_state(ServerState::Serving);
    let joining = in_state(ServerState::Joining);
    let answers = |server: &ServerName| {
        matches!(
            part.server_state(server, now, &timing),
            ServerState::Serving | ServerState::Draining
        )
    };
    let done = part.completed_moves(now);
    let lost = SliceAssigner::reassign_unavailable(&part.record, &serving, |owner| {
        joining.contains(owner) || answers(owner)
    });
    if !lost.is_empty() {
        return Some((lost, done));
    }
    let still_moving = part.record.moving.len() - done.len();
    if still_moving > 0 {
        return None;
    }
    let mut changes = SliceAssigner::reassign_unavailable(&part.record, &serving, |owner| {
        joining.contains(owner)
    });
    changes.truncate(MAX_PLANNED_MOVES);
    if changes.is_empty() {
        let owns_none = |server: &ServerName| {
            !part
                .record
                .ranges()
                .any(|(_, entry)| entry.owner.as_ref() == Some(server))
        };
        if joining.is_empty() && serving.iter().any(owns_none) {
            changes = SliceAssigner::level_counts(&part.record, &serving, MAX_PLANNED_MOVES);
        }
    }
    if changes.is_empty() {
        let mut waiting = node.tables.pending_changes.lock().unwrap();
        changes = waiting.shift_remove(id).unwrap_or_default();
    }
    (!changes.is_empty() || !done.is_empty()).then_some((changes, done))
}
