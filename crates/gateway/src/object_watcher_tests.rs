//! How a watch goes on after an answer that is of no use.

use crate::{object_watcher, prelude::*, store_check_tests, test_objects};
use geraniummast_net::HttpClient;

const KIND: ObjectKind = ObjectKind::Servers;

fn page(revision: u64) -> (u16, serde_json::Value) {
    let entry = test_objects::server_entry(ServerState::Ready);
    let page = ObjectPage {
        objects: vec![test_objects::server_object(&entry, revision.into())],
        next: None,
        revision: revision.into(),
    };
    (200, page.to_value())
}

// Guards against an instance that learns of no more changes: an object is so large, and was written so
// often, that no watch from the known revision can be read.
#[test]
fn watch_whose_answer_is_too_large_lists_again() {
    /// Longest time until the second list has been read.
    const PATIENCE: Duration = Duration::from_secs(20);
    let event = ObjectEvent {
        object: PlatformObject {
            name: "i-other".into(),
            revision: 6.into(),
            spec: "x".repeat(HttpClient::MAX_ANSWER_BYTES).into(),
            status: serde_json::Value::Null,
        },
        is_removed: false,
    };
    let changes = ObjectChanges {
        events: vec![event],
        revision: 6.into(),
    };
    let node = store_check_tests::leading_node(vec![(200, changes.to_value()), page(9)]);
    let follow = object_watcher::follow(node.clone(), KIND);
    let listed_again = async {
        let is_listed = || node.mirror.lock().get(KIND, "s1").is_some();
        while !is_listed() {
            Timer::after(Duration::from_millis(5)).await;
        }
        true
    };
    let expired = async {
        Timer::after(PATIENCE).await;
        false
    };
    let never = async {
        follow.await;
        false
    };
    let raced = future::or(future::or(listed_again, never), expired);
    assert!(node.workers.block_on(raced));
}
