//! Watches the store on the few instances that are selected to do so.
//!
//! Any other instance watches too once none of its parents has answered for a time with jitter.

use crate::{feed_starter, feed_worker, prelude::*};

/// Time that a watch may wait at the store for a change.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Interval at which an instance checks whether it should watch.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer of any parent after which an instance watches the store, before jitter.
const PARENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Shortest delay after a failed watch.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay after failed watches.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval at which watchers read the configuration head itself, because watches may lag.
const HEAD_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Fetches the first configuration, then watches the store whenever this instance should.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    feed_starter::run(&node).await;
    node.pool.spawn(feed_worker::run(node.clone()));
    node.pool.spawn(poll_configuration_head(node.clone()));
    let mut backoff = RetryBackoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        if !should_watch(&node) {
            Timer::after(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let sent_at = node.clock.now();
        let after = node.feed.progress().complete;
        match node.store.watch("", after, WATCH_WAIT).await {
            Ok(batch) => {
                node.feed.record_store_answer(sent_at);
                apply_changes(&node, batch, false);
                backoff.reset();
            }
            Err(error) => {
                log::warn!("watching the store failed: {error}");
                Timer::after(backoff.next_delay(rand::random())).await;
            }
        }
    }
}

/// Reads the configuration head at an interval while this instance is a watcher.
async fn poll_configuration_head(node: Arc<InstanceNode>) {
    loop {
        let jitter = 0.75 + rand::random::<f64>() / 2.0;
        Timer::after(HEAD_READ_INTERVAL.mul_f64(jitter)).await;
        if feed_worker::is_watcher(&node) {
            read_configuration_head(&node).await;
        }
    }
}

fn should_watch(node: &InstanceNode) -> bool {
    let silence = node.clock.now().since(node.feed.contact_times().peer);
    feed_worker::is_watcher(node)
        || silence > PARENT_TIMEOUT + PARENT_TIMEOUT.mul_f64(rand::random())
}

/// Reads and applies the configuration head; returns false if the store does not answer.
pub(crate) async fn read_configuration_head(node: &InstanceNode) -> bool {
    let sent_at = node.clock.now();
    let Ok(stored) = node.store.read(&ObjectPath::configuration_head()).await else {
        return false;
    };
    node.feed.record_store_answer(sent_at);
    if let Some(object) = stored {
        let event = WatchEvent {
            path: ObjectPath::configuration_head(),
            version: object.version,
            value: Some(object.value),
        };
        let batch = WatchBatch {
            version: node.feed.progress().complete,
            events: vec![event],
        };
        apply_changes(node, batch, false);
    }
    true
}

/// Applies changes that came from the store or from a peer to the instance's tables.
pub(crate) fn apply_changes(node: &InstanceNode, batch: WatchBatch, snapshot: bool) {
    node.feed.merge(batch, snapshot, |event| {
        let path = event.path.clone();
        if let Err(error) = apply(node, event) {
            log::error!("ignoring malformed object {path}: {error}");
        }
    });
}

fn apply(node: &InstanceNode, event: WatchEvent) -> Result<(), StoreError> {
    let path = event.path.as_str();
    let Some(value) = event.value else {
        remove(node, path);
        return Ok(());
    };
    let object = StoredObject {
        version: event.version,
        value,
    };
    if event.path == ObjectPath::configuration_head() {
        let head: ConfigurationHead = object.decode()?;
        let verdict = node.tables.gate.lock().unwrap().offer(&head);
        if verdict == RevisionVerdict::Applied {
            let decision = format!("revision {} in force", head.revision);
            let reason = format!("preset {}, changed by {}", head.preset, head.changed_by);
            node.decisions.record("configuration", decision, reason);
        }
    } else if path.starts_with(ObjectPath::INSTANCES) {
        let record: InstanceRecord = object.decode()?;
        let mut instances = node.tables.instances.lock().unwrap();
        let id = record.id.clone();
        let replaced = instances.insert(id.name.clone(), record);
        if let Some(replaced) = replaced.filter(|replaced| replaced.id != id) {
            let now = node.clock.now();
            node.tables
                .peers
                .lock()
                .unwrap()
                .record_end(replaced.id, now);
        }
    } else if path.starts_with(ObjectPath::PARTS) {
        let record = PartRecord::try_from(object.decode::<PartWire>()?)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        node.tables.learn_record(record, node.clock.now());
    }
    Ok(())
}

/// Removes an object from the tables; a removed configuration head stays in force.
fn remove(node: &InstanceNode, path: &str) {
    if let Some(name) = path.strip_prefix(ObjectPath::INSTANCES) {
        let mut instances = node.tables.instances.lock().unwrap();
        if let Some(removed) = instances.swap_remove(name) {
            let now = node.clock.now();
            node.tables
                .peers
                .lock()
                .unwrap()
                .record_end(removed.id, now);
        }
    } else if let Some(Ok(part)) = path
        .strip_prefix(ObjectPath::PARTS)
        .map(str::parse::<PartId>)
    {
        node.tables.parts.lock().unwrap().swap_remove(&part);
        node.tables.led_parts.lock().unwrap().swap_remove(&part);
    }
}
