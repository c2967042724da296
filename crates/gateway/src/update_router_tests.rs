//! Since when a server counts as leaving, by the way in which an instance has learnt of it.

use crate::{
    prelude::*,
    test_node, test_objects,
    update_router::{self, UpdateSource},
};

fn server_entry(state: ServerState, revision: u64) -> ObjectEvent {
    let entry = test_objects::server_entry(state);
    ObjectEvent {
        object: test_objects::server_object(&entry, revision.into()),
        is_removed: false,
    }
}

/// Applies an update of the only server.
fn apply(node: &Arc<GatewayNode>, state: ServerState, revision: u64, source: UpdateSource) {
    let update = StoreUpdate::Changes(ObjectChanges {
        events: vec![server_entry(state, revision)],
        revision: revision.into(),
    });
    update_router::apply(node, ObjectKind::Servers, update, source);
}

// Guards against requests with keys that reach a server 3,144 ms after the store has confirmed that it
// leaves, 3,000 allowed: an instance that hears of it late from another one went on for the whole drain
// time from then.
#[test]
fn server_that_others_say_drains_counts_as_leaving_since_the_knowledge_was_last_complete() {
    const DRAIN_TIME: Duration = Duration::from_millis(2_600);
    const BOUNDS: LeavingBounds = LeavingBounds {
        drain_time: DRAIN_TIME,
        evacuation_time: Duration::MAX,
    };
    let node = Arc::new(test_node::build());
    apply(&node, ServerState::Ready, 5, UpdateSource::Store);
    let confirmed_at = node.now().before(Duration::from_millis(1_500));
    node.knowledge.lock().record_complete(5.into());
    node.knowledge.lock().observe(confirmed_at, 5.into());
    apply(&node, ServerState::Draining, 6, UpdateSource::Peer);
    let server = node.all_servers().remove(0);
    assert!(server.leaving_since().is_some());
    let until = confirmed_at.after(DRAIN_TIME + Duration::from_millis(50));
    assert!(!server.accepts_requests(until, BOUNDS));
}
