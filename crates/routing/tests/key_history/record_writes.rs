//! Writes of the key record by leaders, some of which are lost or executed late.

use crate::history_world::HistoryWorld;
use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use rand::RngExt;

impl HistoryWorld {
    /// Writes completed moves and the planned changes to the store.
    pub(crate) fn write_due_changes(&mut self, index: usize) {
        if !self.is_store_reachable(index) {
            return;
        }
        let now = MonoTime(self.now * 1_000);
        if self.now < self.instances[index].planned_at + 300 {
            return;
        }
        self.instances[index].planned_at = self.now;
        let servers: Vec<PlannedServer> = self
            .servers
            .iter()
            .zip(&self.instances[index].known_born)
            .zip(&self.instances[index].suspect_until)
            .zip(&self.instances[index].health)
            .filter(|(((server, _), suspect_until), (_, health))| {
                server.is_up && **suspect_until <= self.now && !health.is_suspect(now)
            })
            .map(|(((server, born), _), _)| PlannedServer {
                incarnation: ServerIncarnation {
                    id: server.id.clone(),
                    born: *born,
                },
                capacity: 10.0,
                limit: None,
            })
            .collect();
        // A load that moves to other keys makes the planner move ranges.
        let hot_key = self.rng.random_range(0..60_000_u16);
        let weights: Vec<(u16, f64)> = (0..40).map(|step| (hot_key + step * 100, 3.0)).collect();
        let leader = &self.instances[index].leader;
        let Some((record, base_revision)) = leader.record() else {
            return;
        };
        // Completed moves are written together with the next changes, as the gateway does it.
        let mut delta = leader.settled_moves().unwrap_or_default();
        delta.raises = self.ranges_to_raise(index, record, &servers);
        let settled = delta.apply(record);
        let has_no_grant = |server: &ServerIncarnation, fence| {
            fence <= record.last_fence && leader.has_no_grant(server, fence, now)
        };
        let planner = KeyPlanner {
            min_spare_ranges: 0,
            spare_ranges_per_server: 0,
            ..KeyPlanner::default()
        };
        let planned = planner.plan(&settled, &servers, &weights, has_no_grant);
        if self.parameters.has_heartbeats {
            delta.supporters = self.due_supporters(index);
        }
        let mut next = match planned {
            Some(KeyPlan::Initial(distributed)) => distributed,
            Some(KeyPlan::Change(change)) => {
                delta.moves = change.moves;
                delta.merges = change.merges;
                delta.apply(record)
            }
            None => settled,
        };
        if next == *record && leader.has_pending_write() {
            next.skip_fence();
        }
        let is_due = next != *record;
        if is_due && leader.has_authority(now) {
            self.instances[index].leader.begin_write(&next);
            self.write(index, base_revision, next);
        }
    }

    /// First keys of the ranges that need a new fence, as the gateway finds them.
    fn ranges_to_raise(
        &self,
        index: usize,
        record: &KeyRecord,
        servers: &[PlannedServer],
    ) -> Vec<u16> {
        let fences = &self.instances[index].sent_fences;
        let ranges = record.ranges.iter().filter(|range| {
            let is_planned = servers
                .iter()
                .any(|server| server.incarnation == range.owner);
            let position = self
                .servers
                .iter()
                .position(|server| server.id == range.owner.id);
            is_planned && position.is_some_and(|at| fences[at].needs_new_fence(range.fence))
        });
        ranges.map(|range| range.first).collect()
    }

    /// Writes a record. The answer may be lost, and the write may be executed seconds later.
    pub(crate) fn write(&mut self, index: usize, base: StoreRevision, mut record: KeyRecord) {
        let base_revision = base.number;
        if base_revision > 0 && base.era != self.instances[index].era {
            return;
        }
        record.era = Some(self.instances[index].era);
        if !self.has_no_faults && self.chance(50) {
            let at = self.now + self.random_between(0, 5_000);
            self.late_writes.push((at, base_revision, record));
            return;
        }
        let written = self.store.write(base_revision, record.clone());
        if written.is_some() && !self.has_no_faults && self.chance(50) {
            return;
        }
        let revision = self.store_revision();
        self.learn_era(index, revision.era);
        if written.is_none() || base_revision > 0 && revision.era != base.era {
            return;
        }
        let now = MonoTime(self.now * 1_000);
        let instance = &mut self.instances[index];
        let is_leader = record.leader == *instance.leader.own_incarnation();
        instance.leader.adopt(record, revision, now);
        if is_leader {
            instance.leader.confirm_leadership(now);
        }
    }

    /// Executes the late writes that are due.
    pub(crate) fn execute_late_writes(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .late_writes
            .extract_if(.., |write| write.0 <= now)
            .collect();
        for (_, base_revision, record) in due {
            let _ = self.store.write(base_revision, record);
        }
    }
}
