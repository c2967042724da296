//! Objects and their versions in the store.

use crate::prelude::*;

/// Version of an object; increases with each write.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// Object as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredObject {
    /// Version at which the object was read.
    pub version: ObjectVersion,
    /// Value of the object, as JSON.
    pub value: Value,
}

impl StoredObject {
    /// Decodes the value as a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_value(self.value.clone())
            .map_err(|error| StoreError::Malformed(error.to_string()))
    }

    /// Whether the write `write_id` wrote this value.
    pub fn written_by(&self, write_id: &str) -> bool {
        self.value.get("write_id").and_then(Value::as_str) == Some(write_id)
    }
}
