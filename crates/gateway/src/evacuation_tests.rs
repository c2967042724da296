//! Evacuations of data centres as instances learn of them, and what they do with servers there.

use crate::{
    attempt_history::AttemptHistory,
    lookup_outcome::LookupOutcome,
    prelude::*,
    server_lookup::ServerLookup,
    server_lookup_tests::late_call,
    server_reservation_tests::reservation_of,
    test_node, test_objects,
    update_router::{self, UpdateSource},
};

const KIND: ObjectKind = ObjectKind::Evacuations;
const EVACUATE_TIME: Duration = Duration::from_secs(5);

/// Instance that knows all objects up to revision 10 of the first era, among them the servers `s1` and
/// `s2` of the data centres `dc1` and `dc2`.
pub(crate) fn node() -> Arc<GatewayNode> {
    let node = node_without_evacuations();
    list(&node, &[], revision(1, 10));
    node
}

/// The same instance before it knows whether there are evacuations.
pub(crate) fn node_without_evacuations() -> Arc<GatewayNode> {
    let mut node = test_node::build();
    node.settings.evacuate_time = Some(EVACUATE_TIME);
    let node = Arc::new(node);
    test_objects::begin_era(&node, 1);
    for (id, data_centre) in [("s1", "dc1"), ("s2", "dc2")] {
        add_server(&node, id, data_centre);
    }
    confirm_knowledge(&node);
    node
}

fn add_server(node: &GatewayNode, id: &str, data_centre: &str) {
    let entry = ServerEntry {
        data_centre: data_centre.into(),
        ..test_objects::ready_entry(id)
    };
    test_objects::put_server(node, &entry, 1);
}

/// Makes the knowledge as young as by an answer of the store now.
fn confirm_knowledge(node: &GatewayNode) {
    let now = node.now();
    let report = KnowledgeReport {
        age: Duration::ZERO,
        hops: 0,
    };
    node.knowledge.lock().confirm_from(report, now);
}

pub(crate) fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(era, number)
}

fn incarnation(id: &str) -> ServerIncarnation {
    ServerIncarnation {
        id: id.into(),
        born: 1,
    }
}

fn object(data_centre: &str, revision: StoreRevision) -> PlatformObject {
    PlatformObject {
        name: data_centre.into(),
        revision,
        spec: serde_json::Value::Null,
        status: serde_json::Value::Null,
    }
}

fn list(node: &Arc<GatewayNode>, data_centres: &[&str], revision: StoreRevision) {
    let objects = data_centres.iter().map(|name| object(name, revision));
    let objects = objects.collect();
    test_objects::apply_list(node, KIND, objects, revision, UpdateSource::Store);
}

pub(crate) fn change(
    node: &Arc<GatewayNode>,
    data_centre: &str,
    is_removed: bool,
    revision: StoreRevision,
) {
    let event = ObjectEvent {
        object: object(data_centre, revision),
        is_removed,
    };
    let changes = ObjectChanges {
        events: vec![event],
        revision,
    };
    let update = StoreUpdate::Changes(changes);
    update_router::apply(node, KIND, update, UpdateSource::Store);
}

/// Servers that get new requests without a key.
pub(crate) fn usable(node: &GatewayNode) -> Vec<String> {
    let servers = node.usable_servers("s");
    let mut ids: Vec<String> = servers
        .iter()
        .map(|server| server.incarnation().id.clone())
        .collect();
    ids.sort();
    ids
}

/// Whether a server gets requests for its keys.
fn serves_keys(node: &GatewayNode, id: &str) -> bool {
    serves_keys_after(node, id, Duration::ZERO)
}

fn serves_keys_after(node: &GatewayNode, id: &str, time: Duration) -> bool {
    let server = node.server(&incarnation(id)).unwrap();
    server.accepts_requests(node.now().after(time), node.leaving_bounds())
}

fn look_up(node: &Arc<GatewayNode>) -> LookupOutcome {
    let (mut call, history) = (late_call(node.now()), AttemptHistory::default());
    call.headers.key = Some(5);
    let state = node.service("s");
    ServerLookup::new(node, &call, &state, &history, None).run()
}

// Guards against requests that reach servers of a data centre after an operator has taken it out, and
// against servers that stay unused after its return.
#[test]
fn servers_of_an_evacuated_data_centre_are_unused_until_it_is_returned() {
    let node = node();
    assert_eq!(usable(&node), ["s1", "s2"]);
    let server = node.server(&incarnation("s1")).unwrap();
    let unkeyed = reservation_of(&node, &server, None);
    let keyed = reservation_of(&node, &server, Some(revision(1, 1)));
    change(&node, "dc1", false, revision(1, 11));
    assert_eq!(usable(&node), ["s2"]);
    assert!(!unkeyed.is_still_allowed(node.now(), node.leaving_bounds()));
    assert!(keyed.is_still_allowed(node.now(), node.leaving_bounds()));
    let bound = EVACUATE_TIME - Duration::from_millis(400);
    assert!(!keyed.is_still_allowed(node.now().after(bound), node.leaving_bounds()));
    assert!(serves_keys_after(&node, "s1", Duration::from_secs(3)));
    assert!(!serves_keys_after(&node, "s1", bound));
    add_server(&node, "s3", "dc1");
    assert_eq!(usable(&node), ["s2"], "a new server is not used either");
    change(&node, "dc1", true, revision(1, 12));
    assert_eq!(usable(&node), ["s1", "s2", "s3"]);
    assert!(node.evacuations.lock().taken_back_at("dc1").is_some());
}

// Guards against a draining server that gets requests for the longer time of an evacuation, or again
// after the return of its data centre.
#[test]
fn server_that_drains_itself_keeps_the_drain_time() {
    let node = node();
    let server = node.server(&incarnation("s1")).unwrap();
    change(&node, "dc1", false, revision(1, 11));
    let entry = ServerEntry {
        data_centre: "dc1".into(),
        ..test_objects::server_entry(ServerState::Draining)
    };
    test_objects::put_server(&node, &entry, 2);
    let drain_time = node.leaving_bounds().drain_time;
    assert!(!server.accepts_requests(node.now().after(drain_time), node.leaving_bounds()));
    change(&node, "dc1", true, revision(1, 12));
    assert_eq!(usable(&node), ["s2"]);
}

// Guards against requests that wait for a server until their time is over though none will come.
#[test]
fn requests_are_refused_at_once_when_two_evacuations_leave_no_server() {
    let node = node();
    change(&node, "dc1", false, revision(1, 11));
    change(&node, "dc2", false, revision(1, 12));
    assert_eq!(node.evacuations.lock().count(), 2);
    assert!(usable(&node).is_empty());
    assert!(matches!(
        look_up(&node),
        LookupOutcome::Refuse(RefusalReason::NoServer)
    ));
    change(&node, "dc2", true, revision(1, 13));
    assert_eq!(usable(&node), ["s2"]);
}

// Guards against requests with keys that wait for the move of their range though there is no server to
// which it could move.
#[test]
fn request_with_a_key_is_refused_at_once_when_no_server_is_left() {
    let node = node();
    let table = test_objects::route_table(1, &["s"]);
    let keyed = table.services().iter().map(|(name, config)| {
        let config = ServiceConfig {
            keyed: true,
            ..config.clone()
        };
        (name.clone(), config)
    });
    let table = RouteTable::new(1, IndexMap::new(), keyed.collect(), table.limits());
    assert!(node.install_routes(table, revision(1, 5)));
    change(&node, "dc1", false, revision(1, 11));
    assert!(matches!(
        look_up(&node),
        LookupOutcome::Wait(RefusalReason::NoOwner)
    ));
    change(&node, "dc2", false, revision(1, 12));
    assert!(matches!(
        look_up(&node),
        LookupOutcome::Refuse(RefusalReason::NoServer)
    ));
}

// Guards against requests of an instance that starts during an evacuation: it does not know how old
// that is, and may know servers before it.
#[test]
fn evacuation_from_before_the_start_is_in_force_in_full() {
    let node = node_without_evacuations();
    assert!(usable(&node).is_empty(), "evacuations are not known");
    assert!(!node.knows_evacuations());
    list(&node, &["dc1"], revision(1, 10));
    assert_eq!(usable(&node), ["s2"]);
    assert!(!serves_keys(&node, "s1"));
    assert!(node.knows_evacuations());
}

// Guards against five more seconds of requests from an instance that learns of an evacuation late.
#[test]
fn evacuation_is_taken_to_be_as_old_as_the_knowledge() {
    let node = node();
    let now = node.now();
    let report = KnowledgeReport {
        age: Duration::from_secs(3),
        hops: 0,
    };
    *node.knowledge.lock() = KnowledgeAge::default();
    node.knowledge.lock().confirm_from(report, now);
    change(&node, "dc1", false, revision(1, 11));
    assert!(serves_keys_after(&node, "s1", Duration::from_millis(1_500)));
    assert!(!serves_keys_after(
        &node,
        "s1",
        Duration::from_millis(1_600)
    ));
}

// Guards against an evacuation that ends because the copy from which the store was restored is older.
#[test]
fn evacuation_that_a_restored_store_lacks_stays_until_operators_could_write_it_again() {
    let node = node();
    change(&node, "dc1", false, revision(1, 11));
    test_objects::begin_era(&node, 2);
    list(&node, &[], revision(2, 9));
    assert_eq!(usable(&node), ["s2"]);
    let later = node.now().after(Duration::from_secs(4));
    let ended = node.evacuations.lock().settle(later);
    assert_eq!(ended.len(), 1);
    assert!(!node.evacuations.lock().is_evacuated("dc1"));
}

// Guards against an evacuation of the copy that is overlooked since it was known to have ended.
#[test]
fn evacuation_that_a_restored_store_has_again_is_in_force() {
    let node = node();
    change(&node, "dc1", false, revision(1, 11));
    change(&node, "dc1", true, revision(1, 13));
    assert_eq!(usable(&node), ["s1", "s2"]);
    test_objects::begin_era(&node, 2);
    list(&node, &["dc1"], revision(2, 12));
    assert_eq!(usable(&node), ["s2"]);
    assert_eq!(node.evacuations.lock().taken_back_at("dc1"), None);
}

// Guards against an object that names no data centre and has servers elsewhere left out.
#[test]
fn evacuation_of_an_unknown_data_centre_changes_no_server() {
    let node = node();
    change(&node, "dc9", false, revision(1, 11));
    assert_eq!(usable(&node), ["s1", "s2"]);
    assert_eq!(node.evacuations.lock().count(), 1);
}
