//! Levelling of the exclusive parts that this instance leads.

use crate::prelude::*;

/// Interval at which load is looked over.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// A part with the servers that may own its slices.
struct PartSpread {
    record: PartRecord,
    servers: Vec<ServerCapacity>,
}

/// Plans changes for each led exclusive part until the pool stops.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    loop {
        Timer::after(PLAN_INTERVAL).await;
        let now = node.clock.now();
        let spreads = spreads(&node, now);
        node.loads
            .retain(|part| spreads.iter().any(|spread| spread.record.id == *part));
        for PartSpread { record, servers } in spreads {
            let changes = node.loads.plan(&record, &servers, now);
            if !changes.is_empty() {
                let text = format!("{} changes wanted", changes.len());
                node.decisions.record(&record.id, "level load", text);
                node.tables.request_changes(&record.id, changes);
            }
        }
    }
}

/// Parts to look over; one whose last changes are not carried out yet is left alone.
fn spreads(node: &InstanceNode, now: MonoTime) -> Vec<PartSpread> {
    let gate = node.tables.gate.lock().unwrap();
    let Some(head) = gate.head() else {
        return Vec::new();
    };
    let led = node.tables.led_parts.lock().unwrap();
    let changes = node.tables.pending_changes.lock().unwrap();
    led.values()
        .filter(|part| !part.frozen && !changes.contains_key(&part.record.id))
        .filter_map(|part| spread(node, head, part, now))
        .collect()
}

fn spread(
    node: &InstanceNode,
    head: &ConfigurationHead,
    part: &LedPart,
    now: MonoTime,
) -> Option<PartSpread> {
    let service = &part.record.id.service;
    if head.services.get(service)?.kind != ServiceKind::Exclusive {
        return None;
    }
    let share = f64::from(head.active_preset().slot_percent.unwrap_or(100)) / 100.0;
    let servers = head
        .active_servers(service)
        .into_iter()
        .filter(|server| {
            part.server_state(&server.name, now, &node.settings.timing) == ServerState::Serving
        })
        .map(|server| ServerCapacity {
            name: server.name.clone(),
            slots: f64::from(server.slots) * share,
            same_data_centre: server.data_centre == node.settings.data_centre,
        })
        .collect();
    Some(PartSpread {
        record: part.record.clone(),
        servers,
    })
}
