//! Restores of the store from older copies, and how instances write the record again.

use crate::history_world::HistoryWorld;
use geraniummast_model::MonoTime;
use geraniummast_routing::*;

impl HistoryWorld {
    /// Restores the store from a random copy, some seconds old. It is away for a moment.
    pub(crate) fn restore_store(&mut self) {
        self.store.keep_copy(self.now);
        if self.has_no_faults || !self.chance_of(self.parameters.restores_per_mille) {
            return;
        }
        let age = self.random_between(0, 6_000);
        self.store.restore(self.now.saturating_sub(age));
        self.store_away_until = match self.chance(300) {
            true => self.now + self.random_between(0, 8_000),
            false => self.now + self.random_between(0, 500),
        };
    }

    /// Revision of the record in the store; its number is zero if there is none.
    pub(crate) fn store_revision(&self) -> StoreRevision {
        StoreRevision::new(self.store.era, self.store.revision)
    }

    /// Has an instance learn the era of the store, from an answer or another instance.
    pub(crate) fn learn_era(&mut self, index: usize, era: u64) {
        let instance = &mut self.instances[index];
        instance.era = instance.era.max(era);
        instance.leader.learn_era(era);
    }

    fn names_of_others(&self, index: usize) -> Vec<String> {
        let others = (0..self.instances.len()).filter(|other| *other != index);
        others.map(|other| format!("i{other}")).collect()
    }

    /// Reads the record; returns it unless it was written in the present era or is gone.
    pub(crate) fn read_restored(&mut self, index: usize) -> Option<KeyRecord> {
        let now = MonoTime(self.now * 1_000);
        let revision = self.store_revision();
        self.learn_era(index, revision.era);
        let stored = self.store.record.clone();
        if let Some(record) = stored.clone() {
            self.instances[index].leader.adopt(record, revision, now);
        }
        stored
    }

    /// Takes over a record of which the store has lost changes.
    pub(crate) fn take_over_restored(&mut self, index: usize) {
        let stored = self.store.record.clone();
        let leader = &self.instances[index].leader;
        let record = leader.takeover_record("service", stored.as_ref());
        self.write(index, self.store_revision(), record);
    }

    /// Writes the record of a leader again if the store has lost it.
    pub(crate) fn restore_record(&mut self, index: usize) {
        if !self.is_store_reachable(index) || self.chance(500) {
            return;
        }
        let now = MonoTime(self.now * 1_000);
        let others = self.names_of_others(index);
        let step = self.instances[index].leader.restore_step(&others, now);
        if matches!(step, RestoreStep::NotNeeded | RestoreStep::Wait) {
            return;
        }
        let stored = self.read_restored(index);
        let leader = &self.instances[index].leader;
        if leader.restore_step(&others, now) != step {
            return;
        }
        let RestoreStep::Rewrite { raises_fences } = step else {
            return self.take_over_restored(index);
        };
        if let Some(record) = leader.rewritten_record(stored.as_ref(), raises_fences) {
            self.rewrites += 1;
            self.write(index, self.store_revision(), record);
        }
    }

    /// Records the end of former leaders of which other instances tell.
    pub(crate) fn end_former_leaders(
        &mut self,
        index: usize,
        sender: &InstanceIncarnation,
        term: u64,
    ) {
        let now = MonoTime(self.now * 1_000);
        let leader = &mut self.instances[index].leader;
        let own_term = leader.record().map_or(0, |(record, _)| record.term);
        for former in leader.active_former_leaders(now) {
            let is_stopped = sender.incarnation > former.incarnation
                || (sender.incarnation == former.incarnation && term >= own_term);
            if former.instance == sender.instance && is_stopped {
                leader.former_leader_stopped(&former, now);
            }
        }
    }

    /// Records the end of unknown former leaders once all others follow.
    pub(crate) fn end_unknown_leader(&mut self, index: usize) {
        let now = MonoTime(self.now * 1_000);
        let others = self.names_of_others(index);
        self.instances[index]
            .leader
            .end_unknown_leader(&others, now);
    }
}
