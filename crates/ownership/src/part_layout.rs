//! The first assignment of a part's slices.

use crate::prelude::*;

/// Builds the record of a new part: cuts it into slices and deals them out.
#[derive(Clone, Debug)]
pub struct PartLayout {
    id: PartId,
    parts: u32,
    kind: ServiceKind,
    servers: Vec<ServerName>,
    members: Vec<InstanceId>,
}

impl PartLayout {
    /// Slices that each server gets.
    pub const SLICES_PER_SERVER: usize = 8;

    /// Layout of the part `id`, the only one of an exclusive service without servers.
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

    /// Sets the servers that the slices are dealt to.
    pub fn servers(mut self, servers: impl IntoIterator<Item = ServerName>) -> Self {
        self.servers = servers.into_iter().collect();
        self
    }

    /// Sets the leader and the standbys, in this order.
    pub fn members(mut self, members: Vec<InstanceId>) -> Self {
        self.members = members;
        self
    }

    /// Record written by the write `write_id`, none without a leader.
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
