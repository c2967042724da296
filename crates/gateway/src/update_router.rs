//! Dispatches updates of the store's objects to the workers that use them.

use crate::{configuration_worker, discovery_worker, prelude::*, record_worker};

/// Applies an update of one kind, from the store or from another instance.
pub(crate) fn apply(node: &Arc<GatewayNode>, kind: ObjectKind, update: StoreUpdate) {
    let (before, after) = {
        let mut mirror = node.mirror.lock();
        let before = mirror.latest_revisions();
        mirror.apply(kind, &update);
        (before, mirror.latest_revisions())
    };
    match kind {
        ObjectKind::Configuration => configuration_worker::apply(node, update),
        ObjectKind::Servers => discovery_worker::apply(node, update),
        ObjectKind::Records => record_worker::apply(node, update),
    }
    if before != after {
        node.heartbeat_due.notify(usize::MAX);
    }
}
