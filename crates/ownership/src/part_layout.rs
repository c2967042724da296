//! The initial assignment of a part's slices to servers.

use crate::prelude::*;

/// Builder of the first record of a part: divides its range into slices and assigns them evenly.
#[derive(Clone, Debug)]
pub struct PartLayout {
    id: PartId,
    parts: u32,
    kind: ServiceKind,
    servers: Vec<ServerName>,
    members: Vec<InstanceId>,
}

impl PartLayout {
    /// Slices that each server gets at first.
    pub const SLICES_PER_SERVER: usize = 8;

    /// Layout of the part `id` as the only part of an exclusive service without servers.
    pub fn new(id: &PartId) -> Self {
        Self {
            id: id.clone(),
            parts: 1,
            kind: ServiceKind::Exclusive,
            servers: Vec::new(),
            members: Vec::new(),
        }
    }

    /// Sets the number of parts of the service.
    pub fn parts(mut self, parts: u32) -> Self {
        self.parts = parts;
        self
    }

    /// Sets the kind of the service.
    pub fn kind(mut self, kind: ServiceKind) -> Self {
        self.kind = kind;
        self
    }

    /// Sets the servers that the slices are assigned to.
    pub fn servers(mut self, servers: impl IntoIterator<Item = ServerName>) -> Self {
        self.servers = servers.into_iter().collect();
        self
    }

    /// Sets the leader, followed by the standbys.
    pub fn members(mut self, members: Vec<InstanceId>) -> Self {
        self.members = members;
        self
    }

    /// Returns the record for the write `write_id`, or `None` if there are no members.
    pub fn record(&self, write_id: &str) -> Option<PartRecord> {
        let range = self.id.range(self.parts);
        let (leader, standbys) = self.members.split_first()?;
        Some(PartRecord {
            id: self.id.clone(),
            term: 1,
            edition: 1,
            leader: leader.clone(),
            standbys: standbys.to_vec(),
            slices: self.slices(range),
            end: range.end,
            former_members: Vec::new(),
            moving: Vec::new(),
            write_id: write_id.into(),
        })
    }

    fn slices(&self, range: SliceRange) -> Vec<SliceEntry> {
        if self.kind == ServiceKind::Shared || self.servers.is_empty() {
            return vec![SliceEntry {
                start: range.start,
                owner: None,
            }];
        }
        let count = self.servers.len() * Self::SLICES_PER_SERVER;
        let width = (range.end - range.start) / count as u64;
        (0..count)
            .map(|index| SliceEntry {
                start: range.start + width * index as u64,
                owner: Some(self.servers[index % self.servers.len()].clone()),
            })
            .collect()
    }
}
