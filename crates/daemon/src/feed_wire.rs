//! Frames of the change feed.

use crate::prelude::*;

/// Asks for changes since a mark, waiting for some.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct FeedPull {
    #[prost(uint64, tag = "1")]
    pub(crate) complete: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) newest: u64,
    /// Longest wait, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub(crate) wait_ms: u64,
    /// Name of the asking instance.
    #[prost(string, tag = "4")]
    pub(crate) instance: String,
    /// Revision in force there.
    #[prost(uint64, tag = "5")]
    pub(crate) revision: u64,
}

/// Changes since the mark of a pull.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct FeedBatch {
    #[prost(uint64, tag = "1")]
    pub(crate) complete: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) newest: u64,
    /// Whether objects that are not listed were removed.
    #[prost(bool, tag = "3")]
    pub(crate) snapshot: bool,
    #[prost(message, repeated, tag = "4")]
    pub(crate) events: Vec<FeedEvent>,
    /// Revision in force at the answering instance.
    #[prost(uint64, tag = "5")]
    pub(crate) revision: u64,
}

/// Latest state of one object.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct FeedEvent {
    #[prost(string, tag = "1")]
    pub(crate) path: String,
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// JSON value, none when the object was removed.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub(crate) value: Option<Vec<u8>>,
}

impl From<&WatchEvent> for FeedEvent {
    fn from(event: &WatchEvent) -> Self {
        Self {
            path: event.path.to_string(),
            version: event.version.0,
            value: event
                .value
                .as_ref()
                .map(|value| value.to_string().into_bytes()),
        }
    }
}

impl TryFrom<FeedEvent> for WatchEvent {
    type Error = StoreError;

    fn try_from(wire: FeedEvent) -> Result<Self, StoreError> {
        let value = wire.value.as_deref().map(serde_json::from_slice);
        Ok(Self {
            path: ObjectPath::new(&wire.path),
            version: ObjectVersion(wire.version),
            value: value
                .transpose()
                .map_err(|error| StoreError::Malformed(error.to_string()))?,
        })
    }
}

impl FeedBatch {
    /// Bytes of values after which a batch ends.
    const MAX_BYTES: usize = 1 << 20;

    /// What `cache` knows after `after`, cut at a bound.
    pub(crate) fn since(cache: &ObjectCache, after: ObjectVersion, revision: u64) -> Self {
        let mark = cache.progress();
        let snapshot = cache.has_discarded_removals(after);
        let from = if snapshot {
            ObjectVersion::default()
        } else {
            after
        };
        let known = cache.changes_since(from);
        let mut batch = Self {
            complete: mark.complete.0,
            newest: mark.newest.0,
            snapshot,
            events: Vec::new(),
            revision,
        };
        let mut bytes = 0;
        for event in known.events.iter().map(FeedEvent::from) {
            bytes += event.path.len() + event.value.as_ref().map_or(0, Vec::len);
            let version = event.version;
            batch.events.push(event);
            if bytes >= Self::MAX_BYTES && !snapshot {
                batch.complete = mark.complete.0.min(version);
                batch.newest = version;
                break;
            }
        }
        batch
    }
}

impl TryFrom<FeedBatch> for WatchBatch {
    type Error = StoreError;

    fn try_from(wire: FeedBatch) -> Result<Self, StoreError> {
        Ok(Self {
            version: ObjectVersion(wire.complete),
            events: wire
                .events
                .into_iter()
                .map(WatchEvent::try_from)
                .collect::<Result<_, _>>()?,
        })
    }
}
