//! The choice of a server for a request.

use crate::prelude::*;

/// What the leader of a part does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send the request to a server.
    Send {
        /// Owner of the key, or any granted server of a shared service.
        server: ServerName,
        /// Fencing token to send with the request.
        fence: FenceToken,
        /// Time on this instance's clock before which the server must have started the request.
        not_after: MonoTime,
    },
    /// No server has a valid grant; one may get it soon.
    Wait,
    /// No server owns the key.
    Unowned,
}
