//! Writes of the key record: what leaders write, and writes that are lost or come late.

use crate::history_world::HistoryWorld;
use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use rand::RngExt;

impl HistoryWorld {
    /// Writes down what has ended and what the planner wants.
    pub(crate) fn write_changes(&mut self, number: usize) {
        if !self.reaches_store(number) {
            return;
        }
        let now = MonoTime(self.now * 1_000);
        if self.now < self.instances[number].planned_at + 300 {
            return;
        }
        self.instances[number].planned_at = self.now;
        let servers: Vec<PlannedServer> = self
            .servers
            .iter()
            .zip(&self.instances[number].known_born)
            .zip(&self.instances[number].unsure_until)
            .filter(|((server, _), unsure_until)| server.is_up && **unsure_until <= self.now)
            .map(|((server, born), _)| PlannedServer {
                incarnation: ServerIncarnation {
                    id: server.id.clone(),
                    born: *born,
                },
                capacity: 10.0,
            })
            .collect();
        // Load that changes place makes the planner move keys.
        let hot = self.rng.random_range(0..60_000_u16);
        let weights: Vec<(u16, f64)> = (0..40).map(|step| (hot + step * 100, 3.0)).collect();
        let lead = &self.instances[number].lead;
        let Some((record, base)) = lead.record() else {
            return;
        };
        // What has ended is written down with what comes next, as the worker does it.
        let mut delta = lead.settled_moves().unwrap_or_default();
        let settled = delta.apply(record);
        let is_free = |mark: &ServerIncarnation, fence| lead.has_no_grant(mark, fence, now);
        let planner = KeyPlanner {
            merge_threshold: 4,
            ..KeyPlanner::default()
        };
        let planned = planner.plan(&settled, &servers, &weights, is_free);
        let mut next = match planned {
            Some(KeyPlan::Initial(dealt)) => dealt,
            Some(KeyPlan::Change(change)) => {
                delta.moves = change.moves;
                delta.merges = change.merges;
                delta.apply(record)
            }
            None => settled,
        };
        if next == *record && lead.has_pending_write() {
            next.skip_fence();
        }
        let is_due = next != *record;
        if is_due && lead.has_authority(now) {
            self.instances[number].lead.begin_write(&next);
            self.write(number, base, next);
        }
    }

    /// A write whose answer may be lost, and which may be done seconds later.
    pub(crate) fn write(&mut self, number: usize, base: u64, record: KeyRecord) {
        if !self.is_calm && self.chance(50) {
            let at = self.now + self.span(0, 5_000);
            self.late_writes.push((at, base, record));
            return;
        }
        let Some(revision) = self.store.write(base, record.clone()) else {
            return;
        };
        if !self.is_calm && self.chance(50) {
            return;
        }
        let now = MonoTime(self.now * 1_000);
        let instance = &mut self.instances[number];
        let leads = record.leader == *instance.lead.own_incarnation();
        instance.lead.adopt(record, revision, now);
        if leads {
            instance.lead.confirm_leadership(now);
        }
    }

    /// Carries out the writes that come late.
    pub(crate) fn apply_late_writes(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .late_writes
            .extract_if(.., |write| write.0 <= now)
            .collect();
        for (_, base, record) in due {
            let _ = self.store.write(base, record);
        }
    }
}
