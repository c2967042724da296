//! Failure of a call to another instance.

use crate::prelude::*;

/// Reason why a call to a peer gave no reply.
#[derive(Debug)]
pub(crate) enum PeerError {
    /// The call was not sent.
    NotSent(String),
    /// The call may have reached the peer.
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
