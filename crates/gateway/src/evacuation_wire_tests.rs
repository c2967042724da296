//! Messages about evacuations, and how a build that knows of none reads them.

use crate::{
    feed_request::{FeedRequest, FeedRequestWire},
    feed_wire::FeedReplyWire,
    mirror_delta::{MirrorDelta, RemainingObjects},
    peer_heartbeat::PeerHeartbeat,
    prelude::*,
};
use prost::Message;

/// The fields of a feed request that the former build knows. It rejects a request unless the first two
/// have three entries.
#[derive(PartialEq, prost::Message)]
struct FormerRequestWire {
    #[prost(uint64, repeated, tag = "1")]
    synced_revisions: Vec<u64>,
    #[prost(uint64, repeated, tag = "2")]
    latest_revisions: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    synced_eras: Vec<u64>,
    #[prost(uint64, repeated, tag = "4")]
    latest_eras: Vec<u64>,
}

fn revisions(numbers: [u64; KIND_COUNT]) -> KindRevisions {
    numbers.map(|number| StoreRevision::new(u64::from(number > 0), number))
}

fn request(takes_evacuations: bool) -> FeedRequest {
    let last = if takes_evacuations { 13 } else { 0 };
    FeedRequest {
        synced_revisions: revisions([10, 11, 12, last]),
        latest_revisions: revisions([20, 21, 22, last]),
        takes_evacuations,
        ..FeedRequest::default()
    }
}

// Guards against requests that the former build rejects, so that instances of the new one get no
// updates from it.
#[test]
fn feed_request_has_three_revisions_for_the_former_build() {
    for takes_evacuations in [false, true] {
        let frame = FeedRequestWire::from(request(takes_evacuations)).encode_to_vec();
        let former = <FormerRequestWire as Message>::decode(frame.as_slice()).unwrap();
        assert_eq!(former.synced_revisions, [10, 11, 12]);
        assert_eq!(former.latest_revisions, [20, 21, 22]);
        assert_eq!(former.synced_eras, [1, 1, 1]);
        let wire = <FeedRequestWire as Message>::decode(frame.as_slice()).unwrap();
        let decoded = FeedRequest::try_from(wire).unwrap();
        assert_eq!(decoded, request(takes_evacuations));
        let is_former = frame == former.encode_to_vec();
        assert_eq!(is_former, !takes_evacuations, "bytes without the setting");
    }
}

// Guards against heartbeats that grow, or change, on platforms without evacuations.
#[test]
fn heartbeat_has_a_fourth_revision_only_if_evacuations_are_known() {
    let encoded = |numbers| {
        let heartbeat = || PeerHeartbeat {
            instance: "p1".into(),
            revisions: revisions(numbers),
            ..PeerHeartbeat::default()
        };
        let frame = heartbeat().encode();
        assert_eq!(PeerHeartbeat::decode(&frame), Some(heartbeat()));
        frame.len()
    };
    // One byte each for the revision and its era.
    assert_eq!(encoded([10, 11, 12, 13]), encoded([10, 11, 12, 0]) + 2);
}

// Guards against a reply of a later build, with objects of a kind that is not known, that is lost as a
// whole.
#[test]
fn unknown_kind_leaves_the_rest_of_a_reply() {
    let delta = MirrorDelta {
        kind: ObjectKind::Evacuations,
        synced_revision: StoreRevision::new(1, 20),
        latest_revision: StoreRevision::new(1, 20),
        remaining: RemainingObjects::Listed(Vec::new()),
        changed: Vec::new(),
        patched: Vec::new(),
    };
    let mut frame = FeedReplyWire::from(vec![delta]).encode_to_vec();
    // The kind is the first field of the delta, behind the tag and the length of the delta.
    assert_eq!(frame[2..4], [8, 3]);
    let known = frame.clone();
    frame[3] = 9;
    frame.extend(known);
    let wire = <FeedReplyWire as Message>::decode(frame.as_slice()).unwrap();
    let decoded = <Vec<MirrorDelta>>::try_from(wire).unwrap();
    let kinds: Vec<ObjectKind> = decoded.iter().map(|delta| delta.kind).collect();
    assert_eq!(kinds, [ObjectKind::Evacuations]);
}
