//! Where this instance stands among all that are known.

use crate::prelude::*;

impl PeerTable {
    /// Position of this instance among those of its data centre, and among all.
    pub(crate) fn places(&self) -> InstancePlaces {
        self.places
    }

    /// Finds the places anew after the known instances changed.
    pub(crate) fn find_places(&mut self) {
        let mut places = InstancePlaces::default();
        for record in self.peers.values().map(|peer| &peer.record) {
            let is_before = record.name < self.me;
            places.all.count_other(is_before);
            if record.data_centre == self.data_centre {
                places.near.count_other(is_before);
            }
        }
        self.places = places;
    }
}
