//! Removal of the registrations of instances that are gone.
//!
//! The platform's list lags, so an instance counts as gone only after it has been missing from the
//! list for long; its registration is then removed at the version that was seen, which a restart
//! of the same name makes void.

use crate::{feed_worker, prelude::*};

/// Interval at which the first watcher reads the list.
const INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a registered instance must be missing from the list.
const GONE_AFTER: Duration = Duration::from_secs(15);

/// Since when registered instances are missing from the list.
#[derive(Debug, Default)]
pub(crate) struct MissingTable {
    since: IndexMap<InstanceId, MonoTime>,
}

impl MissingTable {
    /// Takes in a reading of the list; returns the registered instances that are gone.
    pub(crate) fn gone(
        &mut self,
        registered: &[InstanceId],
        listed: &[ListedInstance],
        now: MonoTime,
    ) -> Vec<InstanceId> {
        let is_listed = |id: &InstanceId| {
            listed.iter().any(|entry| {
                entry.name == id.name
                    && entry.incarnation >= id.incarnation
                    && entry.state != ListedState::Gone
            })
        };
        let missing = registered.iter().filter(|id| !is_listed(id));
        let missing: Vec<_> = missing.cloned().collect();
        self.since.retain(|id, _| missing.contains(id));
        for id in &missing {
            self.since.entry(id.clone()).or_insert(now);
        }
        let long = |since: &MonoTime| now.since(*since) >= GONE_AFTER;
        let gone = self.since.iter().filter(|(_, since)| long(since));
        gone.map(|(id, _)| id.clone()).collect()
    }
}

/// Reads the list while this instance is the first watcher.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    let mut missing = MissingTable::default();
    loop {
        let jitter = 0.75 + rand::random::<f64>() / 2.0;
        Timer::after(INTERVAL.mul_f64(jitter)).await;
        if !feed_worker::is_first_watcher(&node) {
            missing = MissingTable::default();
            continue;
        }
        let Ok(listed) = node.store.list_instances().await else {
            continue;
        };
        if !listed.iter().any(|entry| entry.name == node.id.name) {
            continue;
        }
        let registered: Vec<_> = {
            let instances = node.tables.instances.lock().unwrap();
            instances.values().map(|record| record.id.clone()).collect()
        };
        for id in missing.gone(&registered, &listed, node.clock.now()) {
            prune(&node, &id).await;
        }
    }
}

async fn prune(node: &InstanceNode, id: &InstanceId) {
    let path = ObjectPath::instance(&id.name);
    let Ok(Some(object)) = node.store.read(&path).await else {
        return;
    };
    let same = object
        .decode::<InstanceRecord>()
        .is_ok_and(|record| record.id == *id);
    if same && let Ok(WriteOutcome::Written(_)) = node.store.remove(&path, object.version).await {
        let reason = format!("missing from the platform's list for {GONE_AFTER:?}");
        node.decisions.record(id, "registration removed", reason);
    }
}
