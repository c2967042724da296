//! An object as read from the store.

use crate::prelude::*;

/// Version of an object, grows with each write.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// Value of an object at a version.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredObject {
    /// Version of the value.
    pub version: ObjectVersion,
    /// Value.
    pub value: Value,
}

impl StoredObject {
    /// Value read as `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_value(self.value.clone())
            .map_err(|error| StoreError::Malformed(error.to_string()))
    }

    /// Whether the value was written by the write `write_id`.
    pub fn written_by(&self, write_id: &str) -> bool {
        self.value.get("write_id").and_then(Value::as_str) == Some(write_id)
    }
}
