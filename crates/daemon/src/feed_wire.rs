//! Messages of the change feed between instances.

use crate::prelude::*;

/// Request for the changes that the sender's cache lacks; the receiver waits until there are some.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct FeedPull {
    /// Version up to which the sender knows every change.
    #[prost(uint64, tag = "1")]
    pub(crate) complete: u64,
    /// Newest version of any object that the sender knows.
    #[prost(uint64, tag = "2")]
    pub(crate) newest: u64,
    /// Maximum time to wait for a change, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub(crate) wait_ms: u64,
    /// Name of the sending instance.
    #[prost(string, tag = "4")]
    pub(crate) instance: String,
    /// Configuration revision in force at the sending instance.
    #[prost(uint64, tag = "5")]
    pub(crate) revision: u64,
}

/// Answer to a pull: the changes that the asking instance lacks.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct FeedBatch {
    /// Version up to which the receiver knows every change once it has applied the batch.
    #[prost(uint64, tag = "1")]
    pub(crate) complete: u64,
    /// Newest version of any object that is covered by the batch.
    #[prost(uint64, tag = "2")]
    pub(crate) newest: u64,
    /// Whether the batch lists all objects, so that those not listed have been removed.
    #[prost(bool, tag = "3")]
    pub(crate) snapshot: bool,
    #[prost(message, repeated, tag = "4")]
    pub(crate) events: Vec<FeedEvent>,
    /// Configuration revision in force at the answering instance.
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
    /// Value as JSON; missing if the object was removed.
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
    /// Size of paths and values after which a batch is cut off and the rest is left to the next.
    const MAX_BYTES: usize = 1 << 20;

    /// Returns the changes in `cache` after the version `after`, up to about [`Self::MAX_BYTES`].
    ///
    /// If the cache no longer holds the removals since then, returns a snapshot of all objects.
    pub(crate) fn since(cache: &ObjectCache, after: ObjectVersion, revision: u64) -> Self {
        let progress = cache.progress();
        let snapshot = cache.has_discarded_removals(after);
        let start = if snapshot {
            ObjectVersion::default()
        } else {
            after
        };
        let changes = cache.changes_since(start);
        let mut batch = Self {
            complete: progress.complete.0,
            newest: progress.newest.0,
            snapshot,
            events: Vec::new(),
            revision,
        };
        let mut bytes = 0;
        for event in changes.events.iter().map(FeedEvent::from) {
            bytes += event.path.len() + event.value.as_ref().map_or(0, Vec::len);
            let version = event.version;
            batch.events.push(event);
            if bytes >= Self::MAX_BYTES && !snapshot {
                batch.complete = progress.complete.0.min(version);
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
