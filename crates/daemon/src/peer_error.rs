//! Failures of calls between instances.

use crate::prelude::*;

/// Why a call to a peer gave no reply.
#[derive(Debug)]
pub(crate) enum PeerError {
    /// The call did not leave.
    NotSent(String),
    /// The call may have arrived.
    Unclear(String),
}

impl Display for PeerError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "call not sent: {cause}"),
            Self::Unclear(cause) => write!(f, "no reply: {cause}"),
        }
    }
}
