//! Paths of the system's objects in the platform's store.

use crate::prelude::*;

/// Path of one object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectPath(String);

impl ObjectPath {
    /// Prefix of all parts.
    pub const PARTS: &'static str = "parts/";
    /// Prefix of all instance registrations.
    pub const INSTANCES: &'static str = "instances/";

    /// Path from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Head of the configuration.
    pub fn configuration_head() -> Self {
        Self::new("config/head")
    }

    /// Record of a part.
    pub fn part(id: &PartId) -> Self {
        Self(format!("{}{}/{}", Self::PARTS, id.service, id.index))
    }

    /// Registration of an instance.
    pub fn instance(name: &str) -> Self {
        Self(format!("{}{name}", Self::INSTANCES))
    }

    /// Text of the path.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for ObjectPath {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}
