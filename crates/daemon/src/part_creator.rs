//! Creates the first record of declared parts.

use crate::prelude::*;

/// Starts to write the first records of the parts whose preferred leader is this instance.
pub(crate) fn create_missing(node: &Arc<InstanceNode>) {
    for record in missing_records(node) {
        let node = node.clone();
        let pool = node.pool.clone();
        pool.spawn(async move { create(&node, record).await });
    }
}

/// Returns a first record for each declared part that has none and for which this instance is the
/// preferred leader.
fn missing_records(node: &InstanceNode) -> Vec<PartRecord> {
    let gate = node.tables.gate.lock().unwrap();
    let Some(head) = gate.head() else {
        return Vec::new();
    };
    let fleet = election_worker::fleet_view(node, node.clock.now());
    let parts = node.tables.parts.lock().unwrap();
    let mut records = Vec::new();
    for (service, declaration) in &head.services {
        for index in 0..declaration.parts {
            let id = PartId::new(service.clone(), index);
            if parts.contains_key(&id) || fleet.preferred_leader(&id) != Some(&node.id) {
                continue;
            }
            let mut members = vec![node.id.clone()];
            members.extend(fleet.choose_standbys(&id, &node.id, &[]));
            let servers = head.active_servers(service);
            records.extend(
                PartLayout::new(&id)
                    .parts(declaration.parts)
                    .kind(declaration.kind)
                    .servers(servers.iter().map(|server| server.name.clone()))
                    .members(members)
                    .record(&Uuid::new_v4().to_string()),
            );
        }
    }
    records
}

/// Writes the first record of a part unless another instance has written one.
async fn create(node: &InstanceNode, record: PartRecord) {
    let path = ObjectPath::part(&record.id);
    let wire = PartWire::from(&record);
    let outcome = node
        .store
        .write(&path, WriteCondition::Absent, &wire, &record.write_id)
        .await;
    if let Ok(WriteOutcome::Written(_)) = outcome {
        node.tables.learn_record(record, node.clock.now());
    }
}
