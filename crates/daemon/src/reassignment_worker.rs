//! Reassigns slices: away from unavailable and draining servers, to new ones, and for balance.

use crate::prelude::*;

/// Interval at which the led parts are checked for due changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of slices of a part that move at once while their owners are available.
const MAX_PLANNED_MOVES: usize = PartLayout::SLICES_PER_SERVER;

/// Reassigns slices of the led parts until the pool stops.
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
            reassign_slices(&node, &part, now);
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Plans the changes of one led part and writes them to its record.
fn reassign_slices(node: &Arc<InstanceNode>, id: &PartId, now: MonoTime) {
    let Some((changes, completed)) = plan_changes(node, id, now) else {
        return;
    };
    let steps = {
        let mut electors = node.tables.electors.lock().unwrap();
        let Some(elector) = electors.get_mut(id) else {
            return;
        };
        let written = elector.change_record(now, |record| {
            record.moving.retain(|range| !completed.contains(range));
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

/// Changes to write now, with the ranges whose moves are completed; `None` if there is nothing to
/// write yet. Slices of unavailable owners come first; planned moves wait until no other move is
/// under way.
fn plan_changes(
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
    let is_available = |server: &ServerName| {
        matches!(
            part.server_state(server, now, &timing),
            ServerState::Serving | ServerState::Draining
        )
    };
    let completed = part.completed_moves(now);
    let urgent = SliceAssigner::reassign_unavailable(&part.record, &serving, |owner| {
        joining.contains(owner) || is_available(owner)
    });
    if !urgent.is_empty() {
        return Some((urgent, completed));
    }
    let still_moving = part.record.moving.len() - completed.len();
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
        let mut requested = node.tables.pending_changes.lock().unwrap();
        changes = requested.shift_remove(id).unwrap_or_default();
    }
    (!changes.is_empty() || !completed.is_empty()).then_some((changes, completed))
}
