//! Name of a server.

use crate::prelude::*;

/// Name of a server as declared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerName(std::sync::Arc<str>);

impl ServerName {
    /// Name from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for ServerName {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}
