//! What a watch returns.

use crate::prelude::*;

/// Changes since a version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchBatch {
    /// Version up to which the changes are complete.
    pub version: ObjectVersion,
    /// Latest state of each object that changed.
    pub events: Vec<WatchEvent>,
}

/// Latest state of one changed object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Path of the object.
    pub path: ObjectPath,
    /// Version of the change.
    pub version: ObjectVersion,
    /// Value, none when the object was removed.
    pub value: Option<Value>,
}
