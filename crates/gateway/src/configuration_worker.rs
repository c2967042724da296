//! Putting the operators' configuration in force.

use crate::{
    object_watcher::{self, WatchNews},
    prelude::*,
};

/// Follows the configuration.
pub(crate) async fn run(node: Arc<GatewayNode>) {
    object_watcher::follow(node, ObjectKind::Configuration, |node, news| {
        let objects = match news {
            WatchNews::List(page) => page.objects,
            WatchNews::Changes(changes) => changes
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
    })
    .await;
}

fn take(node: &Arc<GatewayNode>, object: &PlatformObject) {
    node.peers
        .lock()
        .unwrap()
        .saw_revision(ObjectKind::Configuration, object.revision);
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
    if node.put_routes(table) {
        log::info!(revision, routes, object_revision = object.revision; "configuration in force");
    }
}
