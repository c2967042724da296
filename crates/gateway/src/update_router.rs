//! Dispatches updates of the store's objects to the workers that use them.

use crate::{configuration_worker, discovery_worker, evacuation_worker, prelude::*, record_worker};

/// Where an update of the store's objects came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// This instance's watch or list of the store.
    Store,
    /// A check of the store, which finds what a watch has missed.
    Check,
    /// Another instance.
    Peer,
}

impl UpdateSource {
    /// Label in logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Check => "check",
            Self::Peer => "peer",
        }
    }
}

/// Age of a change of which is only known that it came after what was known before; longer than any
/// drain time.
const MAX_CHANGE_AGE: Duration = Duration::from_secs(20);

/// Applies an update of one kind.
pub(crate) fn apply(
    node: &Arc<GatewayNode>,
    kind: ObjectKind,
    update: StoreUpdate,
    source: UpdateSource,
) {
    let (before, after) = {
        let mut mirror = node.mirror.lock();
        let before = mirror.latest_revisions();
        mirror.apply(kind, &update);
        (before, mirror.latest_revisions())
    };
    let now = node.now();
    // A change that a check finds, or that others may have learnt late, may be as old as the knowledge.
    let age = node.knowledge.lock().age(now);
    let changed_at = match source {
        UpdateSource::Check | UpdateSource::Peer => now.before(age.min(MAX_CHANGE_AGE)),
        UpdateSource::Store => now,
    };
    if source != UpdateSource::Peer {
        record_revisions(&mut node.knowledge.lock(), &update);
    }
    match kind {
        ObjectKind::Configuration => configuration_worker::apply(node, update, source),
        ObjectKind::Servers => discovery_worker::apply(node, update, changed_at),
        ObjectKind::Records => record_worker::apply(node, update),
        // A list or a late answer to a watch may tell of a change that is as old as the knowledge.
        ObjectKind::Evacuations => evacuation_worker::apply(node, &update, age),
    }
    if before != after {
        node.heartbeat_due.notify(usize::MAX);
    }
}

/// Records which changes of the store are known now.
pub(crate) fn record_revisions(knowledge: &mut KnowledgeAge, update: &StoreUpdate) {
    match update {
        StoreUpdate::List(page) => {
            for object in &page.objects {
                knowledge.record_change(object.revision);
            }
        }
        StoreUpdate::Changes(changes) => {
            for event in &changes.events {
                knowledge.record_change(event.object.revision);
            }
        }
    }
}
