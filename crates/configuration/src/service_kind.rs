//! Service kinds: exclusive and shared.

use crate::prelude::*;

/// Whether each key of a service has an exclusive owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Each key is owned by one server at a time.
    Exclusive,
    /// Any server may process a request.
    Shared,
}

impl ServiceKind {
    /// Parses the name of a kind.
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
