//! Applies the evacuations of data centres that operators write into the store.

use crate::{prelude::*, warmup_worker};

/// Applies an update of the evacuations, which the mirror already has. The changes are not older than
/// `age`, the age of the knowledge before; the first ones may be of any age.
pub(crate) fn apply(node: &Arc<GatewayNode>, update: &StoreUpdate, age: Duration) {
    let (revision, removed) = match update {
        StoreUpdate::List(page) => (page.revision, Vec::new()),
        StoreUpdate::Changes(changes) => {
            let removed = changes.events.iter().filter(|event| event.is_removed);
            let removed = removed.map(|event| event.object.name.clone());
            (changes.revision, removed.collect())
        }
    };
    let now = node.now();
    let objects = node.mirror.lock().names(ObjectKind::Evacuations);
    let evacuate_time = node.settings.evacuate_time.unwrap_or_default();
    let mut table = node.evacuations.lock();
    let was_known = table.is_known();
    let changed_at = match was_known {
        true => now.before(age.min(evacuate_time)),
        false => now.before(evacuate_time),
    };
    let times = EvacuationTimes { changed_at, now };
    let changes = table.update(&objects, &removed, revision, times);
    drop(table);
    if !was_known || !changes.is_empty() {
        put_into_force(node, &changes);
    }
}

/// Ends evacuations that a restored store lacks, once operators have had time to write them again.
pub(crate) fn settle(node: &Arc<GatewayNode>) {
    if !node.takes_evacuations() {
        return;
    }
    let changes = node.evacuations.lock().settle(node.now());
    if !changes.is_empty() {
        put_into_force(node, &changes);
    }
}

fn put_into_force(node: &Arc<GatewayNode>, changes: &[EvacuationChange]) {
    let now = node.now();
    // Before the servers are in use again: their entries tell only later that they have become cold.
    for change in changes.iter().filter(|change| !change.is_evacuated) {
        warmup_worker::presume_cold(node, &change.data_centre, now);
    }
    node.refresh_servers();
    let evacuated = node.evacuations.lock().count();
    metrics::gauge!(EVACUATIONS).set(evacuated as f64);
    let servers = node.all_servers();
    for change in changes {
        let data_centre = change.data_centre.as_str();
        let concerned = servers
            .iter()
            .filter(|server| server.entry.data_centre == data_centre);
        let (revision, servers) = (change.revision, concerned.count());
        match change.is_evacuated {
            true => log::info!(data_centre, revision:%, servers; "evacuation in force"),
            false => log::info!(data_centre, revision:%, servers; "evacuation ended"),
        }
    }
    node.keys_changed.notify(usize::MAX);
    for service in servers.iter().map(|server| server.entry.service.as_str()) {
        node.service(service).slot_freed.notify(usize::MAX);
    }
}
