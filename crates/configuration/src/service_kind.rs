//! Kinds of services.

use crate::prelude::*;

/// Whether keys of a service need a sole owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Each key is owned by one server.
    Exclusive,
    /// Any server may answer.
    Shared,
}

impl ServiceKind {
    /// Kind by its declared name.
    pub(crate) fn from_text(text: &str) -> Option<Self> {
        match text {
            "exclusive" => Some(Self::Exclusive),
            "shared" => Some(Self::Shared),
            _ => None,
        }
    }
}

impl Display for ServiceKind {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Exclusive => "exclusive",
            Self::Shared => "shared",
        })
    }
}
