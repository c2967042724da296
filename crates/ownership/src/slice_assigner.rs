//! Which slices change hands when servers are lost, leave or join: as few as can be.

use crate::prelude::*;

/// Deals slices of a part.
#[derive(Clone, Copy, Debug)]
pub struct SliceAssigner;

impl SliceAssigner {
    /// Moves of the slices whose owner is not among `serving`, each to the server that then owns the
    /// least. Empty while no server serves.
    pub fn reassign_unavailable(
        record: &PartRecord,
        serving: &[ServerName],
        keeps: impl Fn(&ServerName) -> bool,
    ) -> Vec<SliceChange> {
        let mut counts = Self::counts(record, serving);
        let mut changes = Vec::new();
        for entry in &record.slices {
            let stays = entry
                .owner
                .as_ref()
                .is_some_and(|owner| serving.contains(owner) || keeps(owner));
            let Some(least) = (0..counts.len()).min_by_key(|index| counts[*index].1) else {
                return Vec::new();
            };
            if !stays {
                counts[least].1 += 1;
                changes.push(SliceChange::Move {
                    start: entry.start,
                    to: counts[least].0.clone(),
                });
            }
        }
        changes
    }

    /// At most `most` moves from the servers that own the most to those that own the least, until
    /// they differ by one slice at most.
    pub fn level_counts(
        record: &PartRecord,
        serving: &[ServerName],
        most: usize,
    ) -> Vec<SliceChange> {
        let mut counts = Self::counts(record, serving);
        let mut owners: Vec<Option<ServerName>> = record
            .slices
            .iter()
            .map(|entry| entry.owner.clone())
            .collect();
        let mut changes = Vec::new();
        while changes.len() < most {
            let least = (0..counts.len()).min_by_key(|index| counts[*index].1);
            let most_owning = (0..counts.len()).max_by_key(|index| counts[*index].1);
            let (Some(least), Some(from)) = (least, most_owning) else {
                break;
            };
            if counts[from].1 <= counts[least].1 + 1 {
                break;
            }
            let position = owners
                .iter()
                .position(|owner| owner.as_ref() == Some(&counts[from].0));
            let Some(position) = position else {
                break;
            };
            owners[position] = Some(counts[least].0.clone());
            counts[from].1 -= 1;
            counts[least].1 += 1;
            changes.push(SliceChange::Move {
                start: record.slices[position].start,
                to: counts[least].0.clone(),
            });
        }
        changes
    }

    fn counts(record: &PartRecord, serving: &[ServerName]) -> Vec<(ServerName, usize)> {
        serving
            .iter()
            .map(|server| {
                let owned = record
                    .slices
                    .iter()
                    .filter(|entry| entry.owner.as_ref() == Some(server))
                    .count();
                (server.clone(), owned)
            })
            .collect()
    }

    /// Applies `changes` to `record` and marks the ranges that change hands; changes that don't fit
    /// the record are left out.
    pub fn apply(record: &mut PartRecord, changes: &[SliceChange]) {
        for change in changes {
            Self::apply_one(record, change);
        }
    }

    fn apply_one(record: &mut PartRecord, change: &SliceChange) {
        let position = |start: u64| record.slices.iter().position(|entry| entry.start == start);
        match change {
            SliceChange::Move { start, to } => {
                let Some(index) = position(*start) else {
                    return;
                };
                let range = record.range_at(index);
                if record.slices[index].owner.as_ref() != Some(to) {
                    record.slices[index].owner = Some(to.clone());
                    record.moving.push(range);
                }
            }
            SliceChange::Split { start, at } => {
                let Some(index) = position(*start) else {
                    return;
                };
                let range = record.range_at(index);
                if range.start < *at && *at <= range.end {
                    let owner = record.slices[index].owner.clone();
                    let entry = SliceEntry { start: *at, owner };
                    record.slices.insert(index + 1, entry);
                }
            }
            SliceChange::Merge { start } => {
                let Some(index) = position(*start).filter(|index| *index > 0) else {
                    return;
                };
                if record.slices[index].owner == record.slices[index - 1].owner {
                    record.slices.remove(index);
                }
            }
        }
    }
}
