//! Creation of parts and leadership of them.

use crate::prelude::*;

/// A part that has no record yet.
struct MissingPart {
    id: PartId,
    record: PartRecord,
}

/// Leads the parts that fall to this instance until the pool stops.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        for missing in missing_parts(&node) {
            create(&node, &missing).await;
        }
        renew_leases(&node);
        Timer::after(node.settings.timing.heartbeat).await;
    }
}

fn missing_parts(node: &Node) -> Vec<MissingPart> {
    let gate = node.tables.gate.lock().unwrap();
    let Some(head) = gate.head() else {
        return Vec::new();
    };
    let instances = node.tables.instances.lock().unwrap();
    let parts = node.tables.parts.lock().unwrap();
    let mut missing = Vec::new();
    for (service, declaration) in &head.services {
        for index in 0..declaration.parts {
            let id = PartId::new(service.clone(), index);
            let subject = id.to_string();
            let ranked =
                RendezvousRank::order(&subject, instances.values(), |record| &record.id.name);
            if parts.contains_key(&id) || ranked.first().is_none_or(|first| first.id != node.id) {
                continue;
            }
            let record = PartLayout::first_record(
                &id,
                declaration.parts,
                declaration.kind,
                &head.active_servers(service),
                &node.id,
                ranked
                    .iter()
                    .skip(1)
                    .take(2)
                    .map(|record| record.id.clone())
                    .collect(),
                &Uuid::new_v4().to_string(),
            );
            missing.push(MissingPart { id, record });
        }
    }
    missing
}

async fn create(node: &Node, missing: &MissingPart) {
    let path = ObjectPath::part(&missing.id);
    let wire = PartWire::from(&missing.record);
    let condition = WriteCondition::Absent;
    let outcome = node
        .store
        .write(&path, condition, &wire, &missing.record.write_id)
        .await;
    if let Ok(WriteOutcome::Written(version)) = outcome {
        node.tables
            .learn_part(&node.id, version, missing.record.clone());
    }
}

fn renew_leases(node: &Node) {
    let now = node.clock.now();
    for part in node.tables.led.lock().unwrap().values_mut() {
        part.lease_until = now.after(node.settings.timing.lease);
    }
}
