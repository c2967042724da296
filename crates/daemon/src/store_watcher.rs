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
        return;
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
                instances.insert(record.id.name.clone(), record);
            })
        }
        _ if path.starts_with(ObjectPath::PARTS) => object
            .decode::<PartWire>()
            .and_then(|wire| {
                PartRecord::try_from(wire).map_err(|error| StoreError::Malformed(error.to_string()))
            })
            .map(|record| node.tables.learn_part(&node.id, event.version, record)),
        _ => Ok(()),
    };
    if let Err(error) = result {
        log::error!("object {path} dropped: {error}");
    }
}
