//! What an instance makes of servers when the store comes back from an older copy.

use crate::{
    prelude::*,
    server_notices, test_node, test_objects,
    update_router::{self, UpdateSource},
};

fn entry(state: ServerState, sequence: u64) -> ServerEntry {
    ServerEntry {
        sequence: Some(sequence),
        ..test_objects::server_entry(state)
    }
}

fn object(state: ServerState, sequence: u64, revision: StoreRevision) -> PlatformObject {
    test_objects::server_object(&entry(state, sequence), revision)
}

fn list(node: &Arc<GatewayNode>, objects: Vec<PlatformObject>, revision: StoreRevision) {
    let kind = ObjectKind::Servers;
    test_objects::apply_list(node, kind, objects, revision, UpdateSource::Store);
}

fn changes(node: &Arc<GatewayNode>, event: ObjectEvent, revision: StoreRevision) {
    let changes = ObjectChanges {
        events: vec![event],
        revision,
    };
    let update = StoreUpdate::Changes(changes);
    update_router::apply(node, ObjectKind::Servers, update, UpdateSource::Peer);
}

fn written(object: PlatformObject) -> ObjectEvent {
    ObjectEvent {
        object,
        is_removed: false,
    }
}

/// An instance that knows the server as ready since the first era.
fn node_with_server() -> (Arc<GatewayNode>, Arc<ServerRuntime>) {
    let node = Arc::new(test_node::build());
    let revision = StoreRevision::new(1, 5);
    let first = object(ServerState::Ready, 1, revision);
    list(&node, vec![first], revision);
    let server = node.server(&entry(ServerState::Ready, 1).incarnation);
    (node, server.unwrap())
}

// Guards against a draining server that becomes active by a restored entry, gets requests and then
// has its drain time anew.
#[test]
fn restored_entry_does_not_end_the_leaving_of_a_server() {
    for comes_by_list in [true, false] {
        let (node, server) = node_with_server();
        let drained_at = StoreRevision::new(1, 90);
        let draining = object(ServerState::Draining, 3, drained_at);
        changes(&node, written(draining), drained_at);
        let since = server.leaving_since();
        assert!(since.is_some());
        let revision = StoreRevision::new(2, 80);
        let copied = object(ServerState::Ready, 2, StoreRevision::new(2, 5));
        match comes_by_list {
            true => list(&node, vec![copied], revision),
            false => changes(&node, written(copied), revision),
        }
        assert_eq!(server.leaving_since(), since, "{comes_by_list}");
        assert!(node.usable_servers("s").is_empty());
        let again = StoreRevision::new(2, 81);
        let draining = object(ServerState::Draining, 4, again);
        changes(&node, written(draining), again);
        assert_eq!(server.leaving_since(), since);
    }
}

// Guards against a server that said itself that it leaves, and gets requests again because a copy of
// the store lists it.
#[test]
fn server_that_announced_its_leaving_stays_leaving_after_a_restore() {
    let (node, server) = node_with_server();
    server_notices::apply_leaving(&node, &server, "answer");
    let since = server.leaving_since();
    for era in [2, 3] {
        let revision = StoreRevision::new(era, 80);
        let copied = object(ServerState::Ready, 9, StoreRevision::new(era, 5));
        list(&node, vec![copied], revision);
        assert!(node.usable_servers("s").is_empty());
        assert_eq!(server.leaving_since(), since);
    }
}

// Guards against live servers that an instance drops because another one, whose list of the new era
// lacks them, reports them as removed.
#[test]
fn server_that_a_copy_lacks_stays_in_use_at_instances_that_others_update() {
    let (node, server) = node_with_server();
    let revision = StoreRevision::new(2, 4);
    let missing = ObjectEvent {
        object: PlatformObject {
            name: "s1".into(),
            revision,
            spec: serde_json::Value::Null,
            status: serde_json::Value::Null,
        },
        is_removed: true,
    };
    changes(&node, missing, revision);
    assert_eq!(node.usable_servers("s").len(), 1);
    assert_eq!(server.leaving_since(), None);
}
