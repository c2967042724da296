//! Bringing news of the store to those who use them.

use crate::{configuration_worker, discovery_worker, prelude::*, record_worker};

/// Takes news of a kind in, whoever told them.
pub(crate) fn apply(node: &Arc<GatewayNode>, kind: ObjectKind, news: StoreUpdate) {
    let (before, after) = {
        let mut mirror = node.mirror.lock().unwrap();
        let before = mirror.newest();
        mirror.apply(kind, &news);
        (before, mirror.newest())
    };
    match kind {
        ObjectKind::Configuration => configuration_worker::apply(node, news),
        ObjectKind::Servers => discovery_worker::apply(node, news),
        ObjectKind::Records => record_worker::apply(node, news),
    }
    if before != after {
        node.heartbeat_due.notify(usize::MAX);
    }
}
