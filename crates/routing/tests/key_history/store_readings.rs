//! Readings of the record by instances, and what they do when its leader is lost.

use crate::history_world::{HistoryWorld, instance_of};
use geraniummast_model::MonoTime;

impl HistoryWorld {
    /// Reads the record, and has the leader that it names confirmed once a second.
    pub(crate) fn read_store(&mut self, index: usize) {
        if !self.is_store_reachable(index) || self.chance(300) {
            return;
        }
        let now = MonoTime(self.now * 1_000);
        let revision = self.store_revision();
        self.learn_era(index, revision.era);
        if let Some(record) = self.store.record.clone() {
            let is_leader = record.leader == *self.instances[index].leader.own_incarnation()
                && !record.is_restored_copy(revision, None);
            let instance = &mut self.instances[index];
            instance.leader.adopt(record, revision, now);
            if is_leader && self.now >= instance.confirmed_at + 1_000 {
                instance.confirmed_at = self.now;
                instance.leader.confirm_leadership(now);
            }
        }
    }

    /// Takes over if there is no record, or if its leader is lost.
    pub(crate) fn consider_takeover(&mut self, index: usize) {
        if !self.is_store_reachable(index) || self.chance(900) {
            return;
        }
        let is_restorable = self.parameters.restores_per_mille > 0;
        let mut stored = match is_restorable {
            true => self.read_restored(index),
            false => self.store.record.clone(),
        };
        let needs_restore = self.instances[index].leader.needs_restore();
        if needs_restore {
            let known = self.instances[index].leader.record();
            stored = known.map(|(record, _)| record.clone());
        }
        let own_incarnation = self.instances[index].leader.own_incarnation().clone();
        let Some(record) = stored else {
            self.learn_era(index, self.store.era);
            return self.take_over_restored(index);
        };
        let leader = instance_of(&record.leader);
        let is_leader_lost = self.instances[leader].leader.own_incarnation() != &record.leader
            || !self.is_alive(leader)
            || !self.is_store_reachable(leader);
        if is_leader_lost && self.now > self.instances[index].started_at + 500 {
            match needs_restore {
                true => self.take_over_restored(index),
                false => {
                    let base = self.store_revision();
                    self.write(index, base, record.with_leader(own_incarnation));
                }
            }
        }
    }
}
