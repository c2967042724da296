//! Evacuations as instances tell them each other.

use crate::{
    evacuation_tests::{self, change, node_without_evacuations, revision, usable},
    feed_replies::FeedReplies,
    feed_request::FeedRequest,
    feed_wire::FeedReplyWire,
    mirror_delta::{DeltaOutcome, MirrorDelta},
    prelude::*,
    test_node,
    update_router::{self, UpdateSource},
};

const KIND: ObjectKind = ObjectKind::Evacuations;

/// Deltas that `node` sends in answer to a request of `other`, as they arrive there.
fn fed(node: &GatewayNode, other: &GatewayNode, takes_evacuations: bool) -> Vec<MirrorDelta> {
    let known = other.mirror.lock();
    let request = FeedRequest::of_mirror(&known, takes_evacuations);
    let mirror = node.mirror.lock();
    let (frame, _) = FeedReplies::default().encode(&mirror, request, node.now());
    let wire = <FeedReplyWire as prost::Message>::decode(frame).unwrap();
    wire.try_into().unwrap()
}

// Guards against instances without a watch of their own that do not learn of evacuations.
#[test]
fn instance_that_does_not_watch_learns_of_evacuations_by_the_feed() {
    let (node, other) = (evacuation_tests::node(), evacuation_tests::node());
    change(&node, "dc1", false, revision(1, 11));
    for delta in fed(&node, &other, true) {
        let outcome = other.mirror.lock().take_over(delta);
        if let DeltaOutcome::Update(update) = outcome {
            update_router::apply(&other, KIND, update, UpdateSource::Peer);
        }
    }
    assert_eq!(usable(&other), ["s2"]);
    assert!(fed(&node, &node_without_evacuations(), false).is_empty());
}

// Guards against endless requests for revisions that an instance without the setting never gets.
#[test]
fn instance_without_the_setting_ignores_revisions_of_evacuations() {
    let node = test_node::build();
    let mut revisions: KindRevisions = [10.into(); KIND_COUNT];
    node.leave_out_unfollowed(&mut revisions);
    assert_eq!(revisions, [10.into(), 10.into(), 10.into(), 0.into()]);
    assert!(!node.follows(KIND));
}
