//! Name of a service.

use crate::prelude::*;

/// Name of a service as declared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceName(std::sync::Arc<str>);

impl ServiceName {
    /// Name from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for ServiceName {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}
