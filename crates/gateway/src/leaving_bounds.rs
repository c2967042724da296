//! How long servers that leave are sent requests for the keys that they own.

use crate::prelude::*;

/// Times after which servers that leave are sent no new requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeavingBounds {
    /// Time after a server began to drain.
    pub(crate) drain_time: Duration,
    /// Time after the evacuation of a server's data centre began.
    pub(crate) evacuation_time: Duration,
}
