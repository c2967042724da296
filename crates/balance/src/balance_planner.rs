//! Planning of slice changes that level the load of a part's servers.

use crate::prelude::*;

/// Planner of moves, splits and merges for one part.
#[derive(Clone, Debug)]
pub struct BalancePlanner {
    limits: BalanceLimits,
    moved_at: IndexMap<u64, MonoTime>,
    levelling: bool,
}

impl BalancePlanner {
    /// Planner with the given limits.
    pub fn new(limits: BalanceLimits) -> Self {
        Self {
            limits,
            moved_at: IndexMap::new(),
            levelling: false,
        }
    }

    /// Returns the changes to make at `now`, to be applied in order. Cold slices are merged only
    /// when nothing else changes.
    pub fn plan(
        &mut self,
        record: &PartRecord,
        report: &LoadReport,
        servers: &[ServerCapacity],
        now: MonoTime,
    ) -> Vec<SliceChange> {
        self.moved_at
            .retain(|_, at| now.since(*at) < self.limits.move_cooldown);
        if servers.len() < 2 {
            return Vec::new();
        }
        let mut projection = LoadProjection::new(servers, self.slices(record, report, servers));
        let mut changes = self.isolate_hot_keys(&mut projection, report);
        let noise = self.limits.noise_sigmas * report.relative_error(servers.len());
        self.plan_moves(&mut projection, noise, &mut changes, now);
        if changes.is_empty() {
            changes = self.merge_cold(&projection);
        }
        changes
    }

    fn slices(
        &self,
        record: &PartRecord,
        report: &LoadReport,
        servers: &[ServerCapacity],
    ) -> Vec<PlannedSlice> {
        let position = |owner: &ServerName| servers.iter().position(|server| server.name == *owner);
        record
            .ranges()
            .map(|(range, entry)| PlannedSlice {
                start: range.start,
                end: range.end,
                owner: entry.owner.as_ref().and_then(position),
                load: report.slices.get(&range.start).copied().unwrap_or(0.0),
                movable: !self.moved_at.contains_key(&range.start),
            })
            .collect()
    }

    /// Gives each hot key a slice of its own, within the limit of splits.
    fn isolate_hot_keys(
        &self,
        projection: &mut LoadProjection,
        report: &LoadReport,
    ) -> Vec<SliceChange> {
        let total = report.total();
        let threshold = self.limits.hot_key_ratio * projection.mean_load();
        let mut changes = Vec::new();
        for key in &report.hot_keys {
            let load = key.share * total;
            let has_room = changes.len() + 2 <= self.limits.max_splits;
            let Some(index) = projection.slice_index(key.hash.0) else {
                continue;
            };
            if load < threshold || load <= 0.0 || !has_room || projection.slices[index].is_single()
            {
                continue;
            }
            Self::isolate_key(projection, index, key.hash.0, load, &mut changes);
        }
        changes
    }

    /// Splits the slice at `index` so that `hash` gets a slice of its own.
    fn isolate_key(
        projection: &mut LoadProjection,
        mut index: usize,
        hash: u64,
        load: f64,
        changes: &mut Vec<SliceChange>,
    ) {
        let slice = projection.slices[index].clone();
        if slice.start < hash {
            let share_before = (hash - slice.start) as f64 / (slice.end - slice.start) as f64;
            let other_load = (slice.load - load).max(0.0);
            projection.split(index, hash, load + other_load * (1.0 - share_before));
            changes.push(SliceChange::Split {
                start: slice.start,
                at: hash,
            });
            index += 1;
        }
        if hash < slice.end {
            let load_after = (projection.slices[index].load - load).max(0.0);
            projection.split(index, hash + 1, load_after);
            changes.push(SliceChange::Split {
                start: hash,
                at: hash + 1,
            });
        }
    }

    /// Moves slices off the busiest server once it is above the trigger, until it is at the target.
    ///
    /// Both thresholds are raised by the noise of the measured load, unless the busiest server is
    /// close to its capacity.
    fn plan_moves(
        &mut self,
        projection: &mut LoadProjection,
        noise: f64,
        changes: &mut Vec<SliceChange>,
        now: MonoTime,
    ) {
        let mean = projection.mean_utilisation();
        let busiest = projection
            .busiest()
            .map_or(0.0, |server| projection.utilisation(server, 0.0));
        let noise = match busiest >= self.limits.urgent_utilisation {
            true => 0.0,
            false => noise,
        };
        for move_count in 0..self.limits.max_moves {
            let Some(from) = projection.busiest() else {
                return;
            };
            let highest = projection.utilisation(from, 0.0);
            if move_count == 0 {
                self.levelling = mean > 0.0 && highest > mean * (self.current_ratio() + noise);
            }
            if !self.levelling || highest <= mean * (self.limits.target_ratio + noise / 2.0) {
                return;
            }
            let candidate = projection
                .best_move(from, self.limits.remote_penalty)
                .filter(|candidate| candidate.utilisation <= highest - mean * self.limits.min_gain);
            let Some(candidate) = candidate else {
                self.split_heaviest(projection, from, changes);
                return;
            };
            let start = projection.slices[candidate.slice].start;
            changes.push(SliceChange::Move {
                start,
                to: projection.servers[candidate.to].name.clone(),
            });
            projection.apply_move(candidate.slice, candidate.to);
            self.moved_at.insert(start, now);
        }
    }

    /// Ratio of the highest to the mean utilisation above which slices move now.
    fn current_ratio(&self) -> f64 {
        match self.levelling {
            true => self.limits.target_ratio,
            false => self.limits.trigger_ratio,
        }
    }

    /// Splits the heaviest slice of a server that has no slice whose move would help enough.
    fn split_heaviest(
        &self,
        projection: &mut LoadProjection,
        server: usize,
        changes: &mut Vec<SliceChange>,
    ) {
        let splits = changes
            .iter()
            .filter(|change| matches!(change, SliceChange::Split { .. }));
        if splits.count() >= self.limits.max_splits {
            return;
        }
        let heaviest = projection
            .slices
            .iter()
            .filter(|slice| slice.owner == Some(server) && slice.movable && !slice.is_single())
            .max_by(|left, right| left.load.total_cmp(&right.load));
        let min_load = 2.0 * self.limits.min_gain * projection.mean_load();
        if let Some(slice) = heaviest.filter(|slice| slice.load >= min_load) {
            changes.push(SliceChange::Split {
                start: slice.start,
                at: slice.middle(),
            });
        }
    }

    /// Merges the coldest pair of adjacent slices when there are more slices than the limit.
    fn merge_cold(&self, projection: &LoadProjection) -> Vec<SliceChange> {
        if projection.slices.len() <= projection.servers.len() * self.limits.max_slices_per_server {
            return Vec::new();
        }
        let threshold = self.limits.cold_ratio * projection.mean_load();
        projection
            .slices
            .windows(2)
            .filter(|pair| pair[0].owner.is_some() && pair[0].owner == pair[1].owner)
            .filter(|pair| pair[0].movable && pair[1].movable)
            .map(|pair| (pair[0].load + pair[1].load, pair[1].start))
            .filter(|(load, _)| *load <= threshold)
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, start)| SliceChange::Merge { start })
            .into_iter()
            .collect()
    }
}
