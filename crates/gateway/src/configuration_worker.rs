//! Putting the operators' configuration in force.

use crate::prelude::*;

/// Takes news of the configuration in.
pub(crate) fn apply(node: &Arc<GatewayNode>, news: StoreUpdate) {
    let objects = match news {
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
            take(node, &object);
        }
    }
}

fn take(node: &Arc<GatewayNode>, object: &PlatformObject) {
    let table = match ConfigurationBody::read(object) {
        Ok(table) => table,
        Err(fault) => {
            log::warn!(
                object_revision = object.revision,
                cause = fault.to_string().as_str();
                "configuration cannot be read; the last good one stays in force"
            );
            return;
        }
    };
    let revision = table.revision();
    let routes = table.route_count();
    if node.install_routes(table) {
        log::info!(revision, routes, object_revision = object.revision; "configuration in force");
    }
}
