//! Open connections of an instance's three listeners.

use crate::prelude::*;

/// Open connections of each listener.
#[derive(Default)]
pub(crate) struct NodeConnections {
    pub(crate) callers: Arc<OpenConnections>,
    pub(crate) operators: Arc<OpenConnections>,
    pub(crate) peers: Arc<OpenConnections>,
    /// Number of connections that were closed because no first frame with a valid proof of the
    /// secret arrived from the peer.
    pub(crate) unauthenticated: AtomicU64,
}

impl NodeConnections {
    /// Returns the name and the connections of each listener.
    pub(crate) fn by_listener(&self) -> [(&'static str, &OpenConnections); 3] {
        [
            ("callers", &self.callers),
            ("operators", &self.operators),
            ("peers", &self.peers),
        ]
    }

    /// Returns how many connections were closed because of a limit or for lack of authentication.
    pub(crate) fn refused(&self) -> u64 {
        let over_limit = self
            .by_listener()
            .map(|(_, connections)| connections.refused());
        over_limit.iter().sum::<u64>() + self.unauthenticated.load(Ordering::Relaxed)
    }
}
