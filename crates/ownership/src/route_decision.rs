//! Where a request goes.

use crate::prelude::*;

/// What a leader does with a request for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send it to the key's owner.
    Send {
        /// Owner.
        server: ServerName,
        /// Authority of the request.
        fence: FenceToken,
        /// Our reading before which the server must have started it.
        not_after: MonoTime,
    },
    /// The owner has no standing grant; it may get one soon.
    Wait,
    /// No server owns the key.
    Unowned,
}
