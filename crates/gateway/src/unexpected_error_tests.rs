//! An unexpected error or message affects one task only, not the instance.

use crate::{
    peer_heartbeat::{GrantedRange, KeySamples, PeerHeartbeat},
    peer_worker,
    prelude::*,
    request_handler, test_node,
};

// Guards against an instance that answers no request any more after one of its tasks panicked with
// a lock held.
#[test]
fn state_stays_usable_after_a_panic_with_its_lock_held() {
    let node = test_node::build();
    let panicked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        node.with_key_view("s", |_| panic!("panic of one task"))
    }));
    assert!(panicked.is_err());
    assert_eq!(node.keyed_services(), ["s"]);
}

// Guards against a connection that is closed without an answer because the handler of its request
// panicked.
#[test]
fn panic_of_a_handler_is_answered_as_a_failure_that_may_have_run() {
    let headers = RequestHeaders {
        request_id: Some(http::HeaderValue::from_static("9c41")),
        ..RequestHeaders::default()
    };
    let answer = async { panic!("panic of one request") };
    let response = future::block_on(request_handler::answer_or_fail(&headers, answer));
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    let answered = ServerHeaders::from(response.headers());
    assert_eq!(answered.request_id, headers.request_id);
}

// Guards against a malformed heartbeat that makes an instance lead the keys of a service that does
// not exist, and write its record to the store.
#[test]
fn heartbeat_that_names_unknown_services_creates_none() {
    let node = test_node::build();
    node.with_key_view("known", |_| ());
    let heartbeat = PeerHeartbeat {
        instance: "i2".into(),
        granted_ranges: vec![GrantedRange {
            service: "other".into(),
            first: 0,
            fence: 1,
        }],
        key_samples: vec![KeySamples {
            service: "garbled".into(),
            keys: vec![1],
            total: 1,
        }],
        ..PeerHeartbeat::default()
    };
    peer_worker::handle_heartbeat(&node, heartbeat);
    assert_eq!(node.keyed_services(), ["known"]);
}
