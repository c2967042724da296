//! Name of a service, cheap to clone.

use crate::prelude::*;

/// Name of a service as it stands in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceName(std::sync::Arc<str>);

impl ServiceName {
    /// Creates a name from its text, which is not validated.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for ServiceName {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}
