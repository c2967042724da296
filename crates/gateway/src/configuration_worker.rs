//! Installs each new configuration that the store reports.

use crate::{prelude::*, update_router::UpdateSource};

/// Installs the configuration that an update contains.
pub(crate) fn apply(node: &Arc<GatewayNode>, update: StoreUpdate, source: UpdateSource) {
    let objects = match update {
        StoreUpdate::List(page) => page.objects,
        StoreUpdate::Changes(changes) => changes
            .events
            .into_iter()
            .filter(|event| !event.is_removed)
            .map(|event| event.object)
            .collect(),
    };
    for object in objects {
        if object.name == ObjectKind::CONFIGURATION_NAME {
            apply_object(node, &object, source);
        }
    }
}

fn apply_object(node: &Arc<GatewayNode>, object: &PlatformObject, source: UpdateSource) {
    let started_at = node.now();
    let table = match ConfigurationBody::read(object) {
        Ok(table) => table,
        Err(error) => {
            log::warn!(
                object_revision:% = object.revision,
                cause = error.to_string().as_str();
                "configuration cannot be read; the last good one stays in force"
            );
            return;
        }
    };
    let revision = table.revision();
    let routes = table.route_count();
    if node.install_routes(table, object.revision) {
        let taken = node.now().since(started_at);
        metrics::histogram!(CONFIGURATION_SECONDS).record(taken.as_secs_f64());
        log::info!(
            revision,
            routes,
            object_revision:% = object.revision,
            taken_us = taken.as_micros() as u64,
            source = source.label();
            "configuration in force"
        );
    }
}
