//! Watching of the store by the few instances whose place it is.
//!
//! An instance whose parents are all silent watches too, after a jittered pause.

use crate::{feed_starter, feed_worker, prelude::*};

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Interval at which an instance looks whether it is to watch.
const ROLE_INTERVAL: Duration = Duration::from_millis(100);
/// Least silence of all parents after which any instance watches.
const PARENT_SILENCE: Duration = Duration::from_millis(1_200);
/// Least pause after a failed call.
const LEAST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Interval at which watchers read the head itself, because watches may lag.
const HEAD_INTERVAL: Duration = Duration::from_secs(1);

/// Confirms the head, then watches whenever it is this instance's place.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    feed_starter::run(&node).await;
    node.pool.spawn(feed_worker::run(node.clone()));
    node.pool.spawn(read_heads(node.clone()));
    let mut pause = RetryBackoff::new(LEAST_PAUSE, LONGEST_PAUSE);
    loop {
        if !is_to_watch(&node) {
            Timer::after(ROLE_INTERVAL).await;
            continue;
        }
        let sent = node.clock.now();
        let after = node.feed.progress().complete;
        match node.store.watch("", after, WATCH_WAIT).await {
            Ok(batch) => {
                node.feed.heard_store(sent);
                take_in(&node, batch, false);
                pause.reset();
            }
            Err(error) => {
                log::warn!("watch failed: {error}");
                Timer::after(pause.next_delay(rand::random())).await;
            }
        }
    }
}

/// Reads the head at an interval while this instance is a watcher.
async fn read_heads(node: Arc<InstanceNode>) {
    loop {
        let jitter = 0.75 + rand::random::<f64>() / 2.0;
        Timer::after(HEAD_INTERVAL.mul_f64(jitter)).await;
        if feed_worker::is_watcher(&node) {
            read_head(&node).await;
        }
    }
}

fn is_to_watch(node: &InstanceNode) -> bool {
    let silence = node.clock.now().since(node.feed.contact_times().peer);
    feed_worker::is_watcher(node)
        || silence > PARENT_SILENCE + PARENT_SILENCE.mul_f64(rand::random())
}

/// Reads the head itself; false when the store gives no answer.
pub(crate) async fn read_head(node: &InstanceNode) -> bool {
    let sent = node.clock.now();
    let Ok(found) = node.store.read(&ObjectPath::configuration_head()).await else {
        return false;
    };
    node.feed.heard_store(sent);
    if let Some(object) = found {
        let event = WatchEvent {
            path: ObjectPath::configuration_head(),
            version: object.version,
            value: Some(object.value),
        };
        let batch = WatchBatch {
            version: node.feed.progress().complete,
            events: vec![event],
        };
        take_in(node, batch, false);
    }
    true
}

/// Takes in changes, from the store or a peer.
pub(crate) fn take_in(node: &InstanceNode, batch: WatchBatch, snapshot: bool) {
    node.feed.take_in(batch, snapshot, |event| {
        let path = event.path.clone();
        if let Err(error) = apply(node, event) {
            log::error!("object {path} dropped: {error}");
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
        let before = instances.insert(id.name.clone(), record);
        if let Some(before) = before.filter(|before| before.id != id) {
            let now = node.clock.now();
            node.tables.peers.lock().unwrap().ended(before.id, now);
        }
    } else if path.starts_with(ObjectPath::PARTS) {
        let record = PartRecord::try_from(object.decode::<PartWire>()?)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        node.tables.learn_part(record, node.clock.now());
    }
    Ok(())
}

/// Takes a removed object out of the tables; the head stays in force.
fn remove(node: &InstanceNode, path: &str) {
    if let Some(name) = path.strip_prefix(ObjectPath::INSTANCES) {
        let mut instances = node.tables.instances.lock().unwrap();
        if let Some(before) = instances.swap_remove(name) {
            let now = node.clock.now();
            node.tables.peers.lock().unwrap().ended(before.id, now);
        }
    } else if let Some(Ok(part)) = path
        .strip_prefix(ObjectPath::PARTS)
        .map(str::parse::<PartId>)
    {
        node.tables.parts.lock().unwrap().swap_remove(&part);
        node.tables.led_parts.lock().unwrap().swap_remove(&part);
    }
}
