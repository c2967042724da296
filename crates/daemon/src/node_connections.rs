//! Connections of an instance's three listeners.

use crate::prelude::*;

/// Connections by listener.
#[derive(Default)]
pub(crate) struct NodeConnections {
    pub(crate) callers: Arc<OpenConnections>,
    pub(crate) operators: Arc<OpenConnections>,
    pub(crate) peers: Arc<OpenConnections>,
    /// Connections of peers that did not prove the secret or broke the frame format.
    pub(crate) unproved: AtomicU64,
}

impl NodeConnections {
    /// Each listener's name and connections.
    pub(crate) fn by_listener(&self) -> [(&'static str, &OpenConnections); 3] {
        [
            ("callers", &self.callers),
            ("operators", &self.operators),
            ("peers", &self.peers),
        ]
    }

    /// Connections that were closed at a bound or without a proof.
    pub(crate) fn refused(&self) -> u64 {
        let at_bound = self
            .by_listener()
            .map(|(_, connections)| connections.refused());
        at_bound.iter().sum::<u64>() + self.unproved.load(Ordering::Relaxed)
    }
}
