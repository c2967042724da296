//! Position of this instance among the known instances.

use crate::prelude::*;

impl PeerTable {
    /// Position of this instance by name, among those of its data centre and among all.
    pub(crate) fn positions(&self) -> InstancePositions {
        self.positions
    }

    /// Recomputes the positions after the known instances changed.
    pub(crate) fn update_positions(&mut self) {
        let mut positions = InstancePositions::default();
        for record in self.peers.values().map(|peer| &peer.record) {
            let is_before = record.name < self.own_name;
            positions.all.count_other(is_before);
            if record.data_centre == self.data_centre {
                positions.local.count_other(is_before);
            }
        }
        self.positions = positions;
    }
}
