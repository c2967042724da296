//! What an instance takes from the store's answers to its checks and its own writes.

use crate::{
    object_mirror::position_of,
    prelude::*,
    record_writer, store_check, test_node, test_objects, test_store,
    update_router::{self, UpdateSource},
};

const SERVICE: &str = "s";
const REVISION: u64 = 5;

fn own_record(node: &GatewayNode) -> PlatformObject {
    let record = KeyRecord::new(SERVICE, node.own_incarnation.clone());
    PlatformObject {
        name: format!("{}{SERVICE}", KeyView::PREFIX),
        revision: REVISION.into(),
        spec: RecordBody::write(&StoredRecord::from(&record)).unwrap(),
        status: serde_json::Value::Null,
    }
}

/// An instance that leads the service and knows all changes up to `REVISION`, of a store that gives
/// these answers.
pub(crate) fn leading_node(answers: Vec<(u16, serde_json::Value)>) -> Arc<GatewayNode> {
    let node = Arc::new(test_node::build_with_store(test_store::start(answers)));
    for kind in [
        ObjectKind::Servers,
        ObjectKind::Configuration,
        ObjectKind::Records,
    ] {
        let objects = match kind {
            ObjectKind::Records => vec![own_record(&node)],
            _ => Vec::new(),
        };
        let page = ObjectPage {
            objects,
            next: None,
            revision: REVISION.into(),
        };
        update_router::apply(&node, kind, StoreUpdate::List(page), UpdateSource::Store);
    }
    node.knowledge.lock().record_complete(REVISION.into());
    assert!(node.is_leading());
    node
}

fn changes(events: Vec<ObjectEvent>, revision: u64) -> serde_json::Value {
    ObjectChanges {
        events,
        revision: revision.into(),
    }
    .to_value()
}

fn confirmation_age(node: &GatewayNode) -> Duration {
    let now = node.now();
    node.with_key_view(SERVICE, |view| view.leader.confirmation_age(now))
}

#[test]
fn leader_that_the_store_still_names_is_confirmed() {
    let node = leading_node(vec![(200, changes(Vec::new(), REVISION))]);
    let result = node.workers.block_on(store_check::run(&node));
    assert!(result.is_ok(), "{result:?}");
    assert!(confirmation_age(&node) < Duration::from_secs(60));
}

// Guards against an instance that goes on granting keys though the store's record is gone, cannot be
// read (a later version of the program wrote it) or has gone back to that of another leader.
#[test]
fn leader_that_the_store_does_not_name_is_not_confirmed() {
    let event = |is_removed, spec| ObjectEvent {
        object: PlatformObject {
            name: format!("{}{SERVICE}", KeyView::PREFIX),
            revision: (REVISION + 1).into(),
            spec,
            status: serde_json::Value::Null,
        },
        is_removed,
    };
    let unreadable = serde_json::json!({ "format": 2 });
    let mut confirmed = Vec::new();
    for (case, events, revision) in [
        (
            "removed",
            vec![event(true, serde_json::Value::Null)],
            REVISION + 1,
        ),
        ("unreadable", vec![event(false, unreadable)], REVISION + 1),
        ("restored copy", Vec::new(), REVISION - 1),
    ] {
        let empty = changes(Vec::new(), revision);
        let answers = vec![
            (200, changes(events, revision)),
            (200, empty.clone()),
            (200, empty),
        ];
        let node = leading_node(answers);
        let result = node.workers.block_on(store_check::run(&node));
        assert!(result.is_ok(), "{case}: {result:?}");
        if confirmation_age(&node) < Duration::MAX {
            confirmed.push(case);
        }
    }
    assert!(confirmed.is_empty(), "confirmed though {confirmed:?}");
}

// Guards against a leader whose watch of the records is lost: its own writes keep what it knows
// young, so that it does not ask, while others neither hear of the writes nor ask for themselves.
#[test]
fn own_write_is_told_to_others_before_it_counts_as_known() {
    let written = PlatformObject {
        revision: (REVISION + 1).into(),
        ..own_record(&test_node::build())
    };
    let node = leading_node(vec![(200, written.to_value())]);
    let record = KeyRecord::new(SERVICE, node.own_incarnation.clone());
    let write = record_writer::write(&node, SERVICE, &record, Some(REVISION.into()), "plan");
    let revision = node.workers.block_on(write);
    assert_eq!(revision, Some((REVISION + 1).into()));
    let told = node.mirror.lock().latest_revisions()[position_of(ObjectKind::Records)];
    let is_known = node.knowledge.lock().covers((REVISION + 1).into());
    assert!(
        !is_known || told > REVISION.into(),
        "others are told {told}"
    );
}

// Guards against a watch that stays lost since one call of a check was not answered after another
// one had shown a change.
#[test]
fn watches_are_restarted_for_a_change_though_a_later_call_fails() {
    let found = ObjectEvent {
        object: PlatformObject {
            revision: (REVISION + 1).into(),
            ..own_record(&test_node::build())
        },
        is_removed: false,
    };
    let node = leading_node(vec![
        (200, changes(vec![found], REVISION + 2)),
        (503, serde_json::Value::Null),
    ]);
    let restart = node.watch_restart_due.listen();
    let result = node.workers.block_on(store_check::run(&node));
    assert!(result.is_err());
    assert!(future::block_on(future::poll_once(restart)).is_some());
}

// Guards against requests with keys that reach a server beyond its drain time, which begins when the
// store accepts the change, not when a check finds it because the watch was lost.
#[test]
fn server_found_to_drain_counts_as_leaving_since_the_knowledge_was_last_complete() {
    const DRAIN_TIME: Duration = Duration::from_millis(1_600);
    const BOUNDS: LeavingBounds = LeavingBounds {
        drain_time: DRAIN_TIME,
        evacuation_time: Duration::MAX,
    };
    let server = |state, revision| {
        let entry = test_objects::server_entry(state);
        test_objects::server_object(&entry, revision)
    };
    let event = |object| ObjectEvent {
        object,
        is_removed: false,
    };
    let drains = event(server(ServerState::Draining, (REVISION + 2).into()));
    let node = leading_node(vec![
        (200, changes(Vec::new(), REVISION + 2)),
        (200, changes(vec![drains], REVISION + 2)),
        (200, changes(Vec::new(), REVISION + 2)),
    ]);
    let joined = ObjectChanges {
        events: vec![event(server(ServerState::Ready, (REVISION + 1).into()))],
        revision: (REVISION + 1).into(),
    };
    let update = StoreUpdate::Changes(joined);
    update_router::apply(&node, ObjectKind::Servers, update, UpdateSource::Store);
    let confirmed_at = node.now().before(Duration::from_millis(1_500));
    node.knowledge
        .lock()
        .observe(confirmed_at, (REVISION + 1).into());
    let result = node.workers.block_on(store_check::run(&node));
    assert!(result.is_ok(), "{result:?}");
    let server = node.all_servers().remove(0);
    assert!(server.leaving_since().is_some());
    let until = confirmed_at.after(DRAIN_TIME + Duration::from_millis(50));
    assert!(!server.accepts_requests(until, BOUNDS));
}
