//! Reassignment of slices when servers are lost, leave or join, with as few moves as possible.

use crate::prelude::*;

/// Planner of moves that depend on the servers' state alone, not on their load.
#[derive(Clone, Copy, Debug)]
pub struct SliceAssigner;

impl SliceAssigner {
    /// Moves each slice whose owner is neither in `serving` nor allowed by `may_keep` to the server
    /// that then owns the fewest slices. Returns no moves while `serving` is empty.
    pub fn reassign_unavailable(
        record: &PartRecord,
        serving: &[ServerName],
        may_keep: impl Fn(&ServerName) -> bool,
    ) -> Vec<SliceChange> {
        let mut slice_counts = Self::slice_counts(record, serving);
        let mut changes = Vec::new();
        for entry in &record.slices {
            let stays = entry
                .owner
                .as_ref()
                .is_some_and(|owner| serving.contains(owner) || may_keep(owner));
            let Some(fewest) = (0..slice_counts.len()).min_by_key(|index| slice_counts[*index].1)
            else {
                return Vec::new();
            };
            if !stays {
                slice_counts[fewest].1 += 1;
                changes.push(SliceChange::Move {
                    start: entry.start,
                    to: slice_counts[fewest].0.clone(),
                });
            }
        }
        changes
    }

    /// Moves at most `max_moves` slices, from servers that own the most to those that own the
    /// fewest, until their counts differ by at most one.
    pub fn level_counts(
        record: &PartRecord,
        serving: &[ServerName],
        max_moves: usize,
    ) -> Vec<SliceChange> {
        let mut slice_counts = Self::slice_counts(record, serving);
        let mut owners: Vec<Option<ServerName>> = record
            .slices
            .iter()
            .map(|entry| entry.owner.clone())
            .collect();
        let mut changes = Vec::new();
        while changes.len() < max_moves {
            let fewest = (0..slice_counts.len()).min_by_key(|index| slice_counts[*index].1);
            let most = (0..slice_counts.len()).max_by_key(|index| slice_counts[*index].1);
            let (Some(fewest), Some(most)) = (fewest, most) else {
                break;
            };
            if slice_counts[most].1 <= slice_counts[fewest].1 + 1 {
                break;
            }
            let position = owners
                .iter()
                .position(|owner| owner.as_ref() == Some(&slice_counts[most].0));
            let Some(position) = position else {
                break;
            };
            owners[position] = Some(slice_counts[fewest].0.clone());
            slice_counts[most].1 -= 1;
            slice_counts[fewest].1 += 1;
            changes.push(SliceChange::Move {
                start: record.slices[position].start,
                to: slice_counts[fewest].0.clone(),
            });
        }
        changes
    }

    /// Number of slices that each of the `serving` servers owns.
    fn slice_counts(record: &PartRecord, serving: &[ServerName]) -> Vec<(ServerName, usize)> {
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

    /// Applies `changes` to `record` and marks ranges with a new owner as moving. Changes that do
    /// not fit the record are ignored.
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
