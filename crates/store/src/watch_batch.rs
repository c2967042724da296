//! Changes returned by a watch.

use crate::prelude::*;

/// Batch of changes since a given version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchBatch {
    /// Version up to which the batch contains all changes.
    pub version: ObjectVersion,
    /// Latest state of each object that changed.
    pub events: Vec<WatchEvent>,
}

/// Latest state of one changed object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Path of the changed object.
    pub path: ObjectPath,
    /// Version of the object after the change.
    pub version: ObjectVersion,
    /// New value, or `None` if the object was removed.
    pub value: Option<Value>,
}
