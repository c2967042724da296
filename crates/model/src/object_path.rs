//! Paths of the objects that this system keeps in the platform's store.

use crate::prelude::*;

/// Path of one stored object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectPath(String);

impl ObjectPath {
    /// Prefix of the paths of all part records.
    pub const PARTS: &'static str = "parts/";
    /// Prefix of the paths of all instance registrations.
    pub const INSTANCES: &'static str = "instances/";

    /// Creates a path from its text, which is not validated.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the path of the configuration's head record.
    pub fn configuration_head() -> Self {
        Self::new("config/head")
    }

    /// Returns the path of the part's record.
    pub fn part(id: &PartId) -> Self {
        Self(format!("{}{}/{}", Self::PARTS, id.service, id.index))
    }

    /// Returns the path of the registration of the instance `name`.
    pub fn instance(name: &str) -> Self {
        Self(format!("{}{name}", Self::INSTANCES))
    }

    /// Returns the path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for ObjectPath {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}
