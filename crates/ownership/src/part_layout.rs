//! The first assignment of a part's slices.

use crate::prelude::*;

/// Cuts a part into slices and deals them out.
#[derive(Clone, Copy, Debug)]
pub struct PartLayout;

impl PartLayout {
    /// Slices that each server gets.
    pub const SLICES_PER_SERVER: usize = 8;

    /// Record of a new part.
    pub fn first_record(
        id: &PartId,
        parts: u32,
        kind: ServiceKind,
        servers: &[&ServerDeclaration],
        leader: &InstanceId,
        standbys: Vec<InstanceId>,
        write_id: &str,
    ) -> PartRecord {
        let range = id.range(parts);
        PartRecord {
            id: id.clone(),
            term: 1,
            edition: 1,
            leader: leader.clone(),
            standbys,
            slices: Self::slices(range, kind, servers),
            end: range.end,
            write_id: write_id.into(),
        }
    }

    fn slices(
        range: SliceRange,
        kind: ServiceKind,
        servers: &[&ServerDeclaration],
    ) -> Vec<SliceEntry> {
        if kind == ServiceKind::Shared || servers.is_empty() {
            return vec![SliceEntry {
                start: range.start,
                owner: None,
            }];
        }
        let count = servers.len() * Self::SLICES_PER_SERVER;
        let width = (range.end - range.start) / count as u64;
        (0..count)
            .map(|index| SliceEntry {
                start: range.start + width * index as u64,
                owner: Some(servers[index % servers.len()].name.clone()),
            })
            .collect()
    }
}
