//! Frames of a build that knows of no eras, and frames of this build as that one reads them.

use crate::{
    feed_request::{FeedRequest, FeedRequestWire},
    feed_wire::FeedReplyWire,
    knowledge_wire::KnowledgeWire,
    mirror_delta::{MirrorDelta, RemainingObjects},
    peer_heartbeat::{PeerHeartbeat, RecordUpdate},
    prelude::*,
};
use prost::Message;

/// Era of the receiver.
const ERA: u64 = 7;

/// The fields with revisions of a heartbeat.
#[derive(PartialEq, prost::Message)]
struct FormerHeartbeatWire {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, repeated, tag = "4")]
    revisions: Vec<u64>,
    #[prost(message, repeated, tag = "11")]
    record_updates: Vec<FormerUpdateWire>,
}

#[derive(PartialEq, prost::Message)]
struct FormerUpdateWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    base_revision: u64,
    #[prost(uint64, tag = "3")]
    revision: u64,
}

#[derive(PartialEq, prost::Message)]
struct FormerRequestWire {
    #[prost(uint64, repeated, tag = "1")]
    synced_revisions: Vec<u64>,
    #[prost(uint64, repeated, tag = "2")]
    latest_revisions: Vec<u64>,
}

#[derive(prost::Message)]
struct FormerReplyWire {
    #[prost(message, repeated, tag = "1")]
    deltas: Vec<FormerDeltaWire>,
    #[prost(message, optional, tag = "2")]
    knowledge: Option<KnowledgeWire>,
}

#[derive(PartialEq, prost::Message)]
struct FormerDeltaWire {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(uint64, tag = "2")]
    synced_revision: u64,
    #[prost(uint64, tag = "3")]
    latest_revision: u64,
    #[prost(string, repeated, tag = "4")]
    names: Vec<String>,
    #[prost(message, repeated, tag = "5")]
    changed: Vec<FormerObjectWire>,
    #[prost(bool, tag = "6")]
    is_partial: bool,
    #[prost(message, repeated, tag = "7")]
    removed: Vec<FormerRemovalWire>,
}

#[derive(PartialEq, prost::Message)]
struct FormerRemovalWire {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(string, tag = "2")]
    name: String,
}

#[derive(PartialEq, prost::Message)]
struct FormerObjectWire {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(string, tag = "3")]
    spec: String,
    #[prost(string, tag = "4")]
    status: String,
}

fn in_era(number: u64) -> StoreRevision {
    StoreRevision::new(ERA, number)
}

fn former_heartbeat() -> FormerHeartbeatWire {
    FormerHeartbeatWire {
        instance: "p1".into(),
        incarnation: 2,
        revisions: vec![10, 11, 12],
        record_updates: vec![FormerUpdateWire {
            service: "s".into(),
            base_revision: 8,
            revision: 9,
        }],
    }
}

/// The same heartbeat as the receiver takes it.
fn heartbeat() -> PeerHeartbeat {
    PeerHeartbeat {
        instance: "p1".into(),
        incarnation: 2,
        revisions: [in_era(10), in_era(11), in_era(12), StoreRevision::ZERO],
        record_updates: vec![RecordUpdate {
            service: "s".into(),
            base_revision: in_era(8),
            revision: in_era(9),
            delta: RecordDelta::default(),
        }],
        ..PeerHeartbeat::default()
    }
}

fn former_request() -> FormerRequestWire {
    FormerRequestWire {
        synced_revisions: vec![10, 0, 12],
        latest_revisions: vec![11, 0, 13],
    }
}

/// The same request as the receiver takes it: what is not known has no era.
fn request() -> FeedRequest {
    FeedRequest {
        synced_revisions: [
            in_era(10),
            StoreRevision::ZERO,
            in_era(12),
            StoreRevision::ZERO,
        ],
        latest_revisions: [
            in_era(11),
            StoreRevision::ZERO,
            in_era(13),
            StoreRevision::ZERO,
        ],
        ..FeedRequest::default()
    }
}

fn former_deltas() -> Vec<FormerDeltaWire> {
    let object = |name: &str, revision| FormerObjectWire {
        name: name.into(),
        revision,
        spec: "{\"slots\":4}".into(),
        status: "null".into(),
    };
    let partial = FormerDeltaWire {
        kind: 0,
        synced_revision: 20,
        latest_revision: 21,
        names: Vec::new(),
        changed: vec![object("s1", 18)],
        is_partial: true,
        removed: vec![FormerRemovalWire {
            revision: 19,
            name: "s2".into(),
        }],
    };
    let full = FormerDeltaWire {
        kind: 1,
        synced_revision: 20,
        latest_revision: 20,
        names: vec!["main".into(), "other".into()],
        changed: vec![object("main", 17)],
        is_partial: false,
        removed: Vec::new(),
    };
    vec![partial, full]
}

fn deltas() -> Vec<MirrorDelta> {
    let object = |name: &str, number| PlatformObject {
        name: name.into(),
        revision: in_era(number),
        spec: serde_json::json!({ "slots": 4 }),
        status: serde_json::Value::Null,
    };
    let partial = MirrorDelta {
        kind: ObjectKind::Servers,
        synced_revision: in_era(20),
        latest_revision: in_era(21),
        remaining: RemainingObjects::AllExcept(vec![(in_era(19), "s2".into())]),
        changed: vec![object("s1", 18)],
        patched: Vec::new(),
    };
    let full = MirrorDelta {
        kind: ObjectKind::Configuration,
        synced_revision: in_era(20),
        latest_revision: in_era(20),
        remaining: RemainingObjects::Listed(vec!["main".into(), "other".into()]),
        changed: vec![object("main", 17)],
        patched: Vec::new(),
    };
    vec![partial, full]
}

/// Name, revision, spec and status of each changed object.
fn content(delta: &MirrorDelta) -> Vec<(&str, StoreRevision, String, String)> {
    let objects = delta.changed.iter();
    let content = objects.map(|object| {
        let (spec, status) = (object.spec.to_string(), object.status.to_string());
        (object.name.as_str(), object.revision, spec, status)
    });
    content.collect()
}

#[test]
fn former_heartbeat_is_of_the_era_of_its_receiver() {
    let frame = former_heartbeat().encode_to_vec();
    let mut decoded = PeerHeartbeat::decode(&frame).unwrap();
    assert_eq!(decoded.era, None);
    decoded.assume_era(ERA);
    assert_eq!(decoded, heartbeat());
}

#[test]
fn heartbeat_is_read_by_the_former_build() {
    let frame = PeerHeartbeat {
        era: Some(StoreEra {
            number: ERA,
            stated: 3,
        }),
        ..heartbeat()
    };
    let decoded = <FormerHeartbeatWire as Message>::decode(frame.encode().as_slice());
    assert_eq!(decoded.unwrap(), former_heartbeat());
}

#[test]
fn former_feed_request_is_of_the_era_of_its_receiver() {
    let frame = former_request().encode_to_vec();
    let wire = <FeedRequestWire as Message>::decode(frame.as_slice()).unwrap();
    let decoded = FeedRequest::try_from(wire).unwrap();
    assert_eq!(decoded.assume_era(ERA), request());
}

#[test]
fn feed_request_is_read_by_the_former_build() {
    let frame = FeedRequestWire::from(request()).encode_to_vec();
    let decoded = <FormerRequestWire as Message>::decode(frame.as_slice());
    assert_eq!(decoded.unwrap(), former_request());
}

#[test]
fn former_feed_reply_is_of_the_era_of_its_receiver() {
    let frame = FormerReplyWire {
        deltas: former_deltas(),
        knowledge: None,
    }
    .encode_to_vec();
    let wire = <FeedReplyWire as Message>::decode(frame.as_slice()).unwrap();
    assert!(wire.era.is_none());
    let mut decoded = <Vec<MirrorDelta>>::try_from(wire).unwrap();
    decoded.iter_mut().for_each(|delta| delta.assume_era(ERA));
    let expected = deltas();
    assert_eq!(decoded.len(), expected.len());
    for (decoded, expected) in decoded.iter().zip(&expected) {
        assert_eq!(decoded.kind, expected.kind);
        assert_eq!(decoded.synced_revision, expected.synced_revision);
        assert_eq!(decoded.latest_revision, expected.latest_revision);
        assert_eq!(decoded.remaining, expected.remaining);
        assert_eq!(content(decoded), content(expected));
    }
}

#[test]
fn feed_reply_is_read_by_the_former_build() {
    let mut reply = FeedReplyWire::from(deltas());
    let report = KnowledgeReport {
        age: Duration::from_millis(14),
        hops: 1,
    };
    reply.knowledge = Some(report.into());
    reply.era = Some(
        StoreEra {
            number: ERA,
            stated: 3,
        }
        .into(),
    );
    let frame = reply.encode_to_vec();
    let decoded = <FormerReplyWire as Message>::decode(frame.as_slice()).unwrap();
    assert_eq!(decoded.deltas, former_deltas());
    assert_eq!(decoded.knowledge.map(KnowledgeReport::from), Some(report));
}
