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
