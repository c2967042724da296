//! Watching of the store.

use crate::prelude::*;

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Pause after a failed watch.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Follows the store until the pool stops.
pub(crate) async fn run(node: Arc<Node>) {
    let mut after = ObjectVersion::default();
    loop {
        match node.store.watch("", after, WATCH_WAIT).await {
            Ok(batch) => {
                after = batch.version;
                for event in batch.events {
                    take_in(&node, event);
                }
            }
            Err(error) => {
                log::warn!("watch failed: {error}");
                Timer::after(RETRY_INTERVAL).await;
            }
        }
    }
}

fn take_in(node: &Node, event: WatchEvent) {
    let Some(value) = event.value else {
        return removed(node, &event.path);
    };
    let path = event.path.as_str();
    let object = StoredObject {
        version: event.version,
        value,
    };
    let result = match path {
        _ if event.path == ObjectPath::head() => object.decode().map(|head: HeadRecord| {
            node.tables.gate.lock().unwrap().offer(&head);
        }),
        _ if path.starts_with(ObjectPath::INSTANCES) => {
            object.decode().map(|record: InstanceRecord| {
                let mut instances = node.tables.instances.lock().unwrap();
                let id = record.id.clone();
                let before = instances.insert(id.name.clone(), record);
                if let Some(before) = before.filter(|before| before.id != id) {
                    let now = node.clock.now();
                    node.tables.peers.lock().unwrap().ended(before.id, now);
                }
            })
        }
        _ if path.starts_with(ObjectPath::PARTS) => object
            .decode::<PartWire>()
            .and_then(|wire| {
                PartRecord::try_from(wire).map_err(|error| StoreError::Malformed(error.to_string()))
            })
            .map(|record| node.tables.learn_part(record, node.clock.now())),
        _ => Ok(()),
    };
    if let Err(error) = result {
        log::error!("object {path} dropped: {error}");
    }
}

/// Counts a run as ended when the platform's list no longer names it.
fn removed(node: &Node, path: &ObjectPath) {
    let Some(name) = path.as_str().strip_prefix(ObjectPath::INSTANCES) else {
        return;
    };
    let mut instances = node.tables.instances.lock().unwrap();
    if let Some(before) = instances.shift_remove(name) {
        let now = node.clock.now();
        node.tables.peers.lock().unwrap().ended(before.id, now);
    }
}
