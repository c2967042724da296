//! Where this instance stands among all that are known.

use crate::prelude::*;

impl PeerTable {
    /// Position of this instance among those of its data centre, and among all.
    pub(crate) fn positions(&self) -> InstancePositions {
        self.positions
    }

    /// Finds the positions anew after the known instances changed.
    pub(crate) fn update_positions(&mut self) {
        let mut positions = InstancePositions::default();
        for record in self.peers.values().map(|peer| &peer.record) {
            let is_before = record.name < self.me;
            positions.all.count_other(is_before);
            if record.data_centre == self.data_centre {
                positions.local.count_other(is_before);
            }
        }
        self.positions = positions;
    }
}
