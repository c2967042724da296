//! Position of this instance among the known instances, and the few that act for all.

use crate::prelude::*;
use indexmap::IndexSet;

/// Place of an instance in the order in which instances act for all others.
pub(crate) fn order_of(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

impl PeerTable {
    /// Position of this instance by name, among those of its data centre and among all.
    pub(crate) fn positions(&self) -> InstancePositions {
        self.positions
    }

    /// Whether this instance is one of the few that act for all while no leader does.
    pub(crate) fn is_volunteer(&self) -> bool {
        self.volunteers.contains(&self.own_name)
    }

    /// Whether this instance tells all others that it is alive while a leader is silent: it is a
    /// volunteer, or a leader has named it as a successor.
    pub(crate) fn is_exchanging(&self) -> bool {
        self.is_volunteer() || self.successors().any(|name| *name == self.own_name)
    }

    /// Heartbeat addresses of the instances that have to hear this one while a leader is silent.
    /// Those that may take over first are heard by all; the others by them only, since a heartbeat
    /// from each to each would be as many as the square of the instances.
    pub(crate) fn exchange_addresses(&self) -> Vec<SocketAddr> {
        if self.is_exchanging() {
            return self.addresses();
        }
        let addresses = self.exchanging().filter_map(|name| self.address_of(name));
        addresses.collect()
    }

    /// Names of the instances that tell all others that they are alive while a leader is silent.
    pub(crate) fn exchanging(&self) -> impl Iterator<Item = &String> {
        let names: IndexSet<&String> = self.volunteers.iter().chain(self.successors()).collect();
        names.into_iter()
    }

    /// Instances that leaders have named as their successors.
    fn successors(&self) -> impl Iterator<Item = &String> {
        let assignments = self.assignments.values();
        assignments.flat_map(|assignment| &assignment.successors)
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
        let others = self
            .peers
            .values()
            .map(|peer| (peer.order, &peer.record.name));
        let own = (order_of(&self.own_name), &self.own_name);
        let mut ordered: Vec<(u64, &String)> = others.chain([own]).collect();
        let count = WatcherSelection::MAX_VOLUNTEERS.min(ordered.len());
        if count < ordered.len() {
            ordered.select_nth_unstable(count);
        }
        ordered.truncate(count);
        self.volunteers = ordered.into_iter().map(|(_, name)| name.clone()).collect();
    }
}
