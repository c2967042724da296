//! Removes the registrations of instances that have ended.
//!
//! The platform's list of instances lags, so an instance counts as ended only after it has been
//! missing from the list for a while. Its registration is then removed on condition that it still
//! has the version that was read; a new start under the same name changes the version.

use crate::{feed_worker, prelude::*};

/// Mean interval at which the first watcher reads the list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a registered instance must be missing from the list to count as ended.
const REMOVAL_DELAY: Duration = Duration::from_secs(15);

/// Registered instances that are missing from the list, and since when they have been missing.
#[derive(Debug, Default)]
pub(crate) struct MissingTable {
    missing_since: IndexMap<InstanceId, MonoTime>,
}

impl MissingTable {
    /// Updates the table by a new reading of the list; returns the instances that count as ended.
    pub(crate) fn update(
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
        self.missing_since.retain(|id, _| missing.contains(id));
        for id in &missing {
            self.missing_since.entry(id.clone()).or_insert(now);
        }
        let is_due = |since: &MonoTime| now.since(*since) >= REMOVAL_DELAY;
        let ended = self.missing_since.iter().filter(|(_, since)| is_due(since));
        ended.map(|(id, _)| id.clone()).collect()
    }
}

/// Reads the list and removes registrations while this instance is the first watcher.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    let mut table = MissingTable::default();
    loop {
        let jitter = 0.75 + rand::random::<f64>() / 2.0;
        Timer::after(LIST_INTERVAL.mul_f64(jitter)).await;
        if !feed_worker::is_first_watcher(&node) {
            table = MissingTable::default();
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
        for id in table.update(&registered, &listed, node.clock.now()) {
            prune(&node, &id).await;
        }
    }
}

/// Removes the registration of `id` unless another incarnation has replaced it meanwhile.
async fn prune(node: &InstanceNode, id: &InstanceId) {
    let path = ObjectPath::instance(&id.name);
    let Ok(Some(object)) = node.store.read(&path).await else {
        return;
    };
    let is_same = object
        .decode::<InstanceRecord>()
        .is_ok_and(|record| record.id == *id);
    if is_same && let Ok(WriteOutcome::Written(_)) = node.store.remove(&path, object.version).await
    {
        let reason = format!("missing from the platform's list for {REMOVAL_DELAY:?}");
        node.decisions.record(id, "registration removed", reason);
    }
}
