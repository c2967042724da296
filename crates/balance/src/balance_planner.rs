//! Planning of slice changes.

use crate::prelude::*;

/// Proposes changes that level the load of a part's servers.
#[derive(Clone, Debug)]
pub struct BalancePlanner {
    limits: BalanceLimits,
    moved: IndexMap<u64, MonoTime>,
    levelling: bool,
}

impl BalancePlanner {
    /// Planner within `limits`.
    pub fn new(limits: BalanceLimits) -> Self {
        Self {
            limits,
            moved: IndexMap::new(),
            levelling: false,
        }
    }

    /// Changes to make now, to be carried out in their order.
    pub fn plan(
        &mut self,
        record: &PartRecord,
        report: &LoadReport,
        servers: &[ServerCapacity],
        now: MonoTime,
    ) -> Vec<SliceChange> {
        self.moved.retain(|_, at| now.since(*at) < self.limits.rest);
        if servers.len() < 2 {
            return Vec::new();
        }
        let mut view = SpreadView::new(servers, self.slices(record, report, servers));
        let mut changes = self.set_hot_keys_apart(&mut view, report);
        let noise = self.limits.noise_sigmas * report.relative_error(servers.len());
        self.level(&mut view, noise, &mut changes, now);
        if changes.is_empty() {
            changes = self.join_cold(&view);
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
                movable: !self.moved.contains_key(&range.start),
            })
            .collect()
    }

    fn set_hot_keys_apart(&self, view: &mut SpreadView, report: &LoadReport) -> Vec<SliceChange> {
        let total = report.total();
        let threshold = self.limits.hot_key_share * view.mean_load();
        let mut changes = Vec::new();
        for key in &report.hot_keys {
            let load = key.share * total;
            let room = changes.len() + 2 <= self.limits.max_splits;
            let Some(index) = view.position(key.hash.0) else {
                continue;
            };
            if load < threshold || load <= 0.0 || !room || view.slices[index].is_single() {
                continue;
            }
            Self::set_apart(view, index, key.hash.0, load, &mut changes);
        }
        changes
    }

    /// Cuts the slice at `index` so that `hash` has a slice of its own.
    fn set_apart(
        view: &mut SpreadView,
        mut index: usize,
        hash: u64,
        load: f64,
        changes: &mut Vec<SliceChange>,
    ) {
        let slice = view.slices[index].clone();
        if slice.start < hash {
            let before = (hash - slice.start) as f64 / (slice.end - slice.start) as f64;
            let rest = (slice.load - load).max(0.0);
            view.cut(index, hash, load + rest * (1.0 - before));
            changes.push(SliceChange::Split {
                start: slice.start,
                at: hash,
            });
            index += 1;
        }
        if hash < slice.end {
            let after = (view.slices[index].load - load).max(0.0);
            view.cut(index, hash + 1, after);
            changes.push(SliceChange::Split {
                start: hash,
                at: hash + 1,
            });
        }
    }

    /// Moves slices from the busiest servers once one is above the trigger, until all are at the
    /// target; both are raised by the noise of the metered load.
    fn level(
        &mut self,
        view: &mut SpreadView,
        noise: f64,
        changes: &mut Vec<SliceChange>,
        now: MonoTime,
    ) {
        let mean = view.mean();
        let busiest = view
            .busiest()
            .map_or(0.0, |server| view.utilisation(server, 0.0));
        let noise = match busiest >= self.limits.urgent {
            true => 0.0,
            false => noise,
        };
        for moves in 0..self.limits.max_moves {
            let Some(from) = view.busiest() else {
                return;
            };
            let peak = view.utilisation(from, 0.0);
            if moves == 0 {
                self.levelling = mean > 0.0 && peak > mean * (self.bound() + noise);
            }
            if !self.levelling || peak <= mean * (self.limits.target + noise / 2.0) {
                return;
            }
            let option = view
                .best_move(from, self.limits.near_bonus)
                .filter(|option| option.utilisation <= peak - mean * self.limits.least_gain);
            let Some(option) = option else {
                self.split_heaviest(view, from, changes);
                return;
            };
            let start = view.slices[option.slice].start;
            changes.push(SliceChange::Move {
                start,
                to: view.servers[option.to].name.clone(),
            });
            view.shift(option.slice, option.to);
            self.moved.insert(start, now);
        }
    }

    /// Utilisation over the mean above which slices move now.
    fn bound(&self) -> f64 {
        match self.levelling {
            true => self.limits.target,
            false => self.limits.trigger,
        }
    }

    /// Halves the heaviest slice of a server that has none light enough to move.
    fn split_heaviest(&self, view: &mut SpreadView, server: usize, changes: &mut Vec<SliceChange>) {
        let splits = changes
            .iter()
            .filter(|change| matches!(change, SliceChange::Split { .. }));
        if splits.count() >= self.limits.max_splits {
            return;
        }
        let heaviest = view
            .slices
            .iter()
            .filter(|slice| slice.owner == Some(server) && slice.movable && !slice.is_single())
            .max_by(|left, right| left.load.total_cmp(&right.load));
        let worthwhile = 2.0 * self.limits.least_gain * view.mean_load();
        if let Some(slice) = heaviest.filter(|slice| slice.load >= worthwhile) {
            changes.push(SliceChange::Split {
                start: slice.start,
                at: slice.middle(),
            });
        }
    }

    /// Joins one pair of cold neighbours when there are more slices than wanted.
    fn join_cold(&self, view: &SpreadView) -> Vec<SliceChange> {
        if view.slices.len() <= view.servers.len() * self.limits.max_slices_per_server {
            return Vec::new();
        }
        let threshold = self.limits.cold_share * view.mean_load();
        view.slices
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
