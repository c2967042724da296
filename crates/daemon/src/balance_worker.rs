//! Load balancing of the exclusive parts that this instance leads.

use crate::prelude::*;

/// Interval at which load is evaluated.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Input for planning one part: its record and the servers that may own its slices.
struct PlanInput {
    record: PartRecord,
    servers: Vec<ServerCapacity>,
}

/// Requests the slice changes that balance the load of each led exclusive part, until the worker
/// pool stops.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    loop {
        Timer::after(PLAN_INTERVAL).await;
        let now = node.clock.now();
        let inputs = plan_inputs(&node, now);
        node.loads
            .retain(|part| inputs.iter().any(|input| input.record.id == *part));
        for PlanInput { record, servers } in inputs {
            let changes = node.loads.plan(&record, &servers, now);
            if !changes.is_empty() {
                let reason = format!("{} changes wanted", changes.len());
                node.decisions.record(&record.id, "level load", reason);
                node.tables.request_changes(&record.id, changes);
            }
        }
    }
}

/// Returns the input of each led exclusive part that is not frozen and has no pending changes.
fn plan_inputs(node: &InstanceNode, now: MonoTime) -> Vec<PlanInput> {
    let gate = node.tables.gate.lock().unwrap();
    let Some(head) = gate.head() else {
        return Vec::new();
    };
    let led = node.tables.led_parts.lock().unwrap();
    let changes = node.tables.pending_changes.lock().unwrap();
    led.values()
        .filter(|part| !part.frozen && !changes.contains_key(&part.record.id))
        .filter_map(|part| plan_input(node, head, part, now))
        .collect()
}

/// Returns nothing for a part whose service is not exclusive or no longer declared.
fn plan_input(
    node: &InstanceNode,
    head: &ConfigurationHead,
    part: &LedPart,
    now: MonoTime,
) -> Option<PlanInput> {
    let service = &part.record.id.service;
    if head.services.get(service)?.kind != ServiceKind::Exclusive {
        return None;
    }
    let slot_ratio = f64::from(head.active_preset().slot_percent.unwrap_or(100)) / 100.0;
    let servers = head
        .active_servers(service)
        .into_iter()
        .filter(|server| {
            part.server_state(&server.name, now, &node.settings.timing) == ServerState::Serving
        })
        .map(|server| ServerCapacity {
            name: server.name.clone(),
            slots: f64::from(server.slots) * slot_ratio,
            same_data_centre: server.data_centre == node.settings.data_centre,
        })
        .collect();
    Some(PlanInput {
        record: part.record.clone(),
        servers,
    })
}
