//! Key records after a restore of the store from an older copy.
//!
//! The store then has a record of an earlier era, or none: moves, fences and terms that were written
//! since are lost. Such a restored copy replaces nothing that an instance knows, and confirms no
//! leader. What was lost is bounded by steps: no more than [`KeyRecord::LOST_FENCES`] fences and
//! [`KeyRecord::LOST_TERMS`] terms for each era. A copy may be older than the restore before, and an
//! instance may have missed several eras.
//!
//! **Until the record is written again** its leader goes on as if the store were away: it renews what
//! it has granted, while its last confirmation in the earlier era and its supporters let it. That is
//! as safe as without the restore, since the instances that know a later term take over no restored
//! copy, and so do not support it. It begins no moves, since it cannot write.
//!
//! **Written again by its leader.** The store may have lost the takeover of a later leader, which may
//! go on and move keys by a record that this one does not know. Supporters alone do not rule that
//! out: they may not have heard of it. The leader therefore writes its record only once every other
//! live instance has told, after it knew the new era, a term that is not later (`EraCensus`): from
//! then on an instance takes over no record of an earlier era, so none is or becomes a leader whose
//! takeover was lost. An instance that has restarted meanwhile may have been one; its grants have
//! expired some seconds after its first report, and the leader raises the fences of its own ranges above
//! any that it may have given out. Owners keep settled ranges; moves begin again.
//!
//! **Taken over** otherwise: the leader is lost or without authority, or instances are silent. Moves
//! may be lost, so no server can be asked to release a range. Each range gets a new fence and moves to
//! its owner from an unknown holder, which waits until all grants have expired. The supporters in the
//! known records may not be the leader's last ones, so former leaders count as long as they can without
//! any; so does an unknown former leader, whose takeover may be lost, until all other instances
//! know the new term. The same former leaders stay in the record for the next one that takes over.
//!
//! **Writes of an earlier era** may take effect in the new one, since revisions are given out again.
//! Their record tells the earlier era, so it is a restored copy too, and the leader writes its record
//! over it. Another takeover may have been lost beneath it, so the instances must have heard this
//! leader since.

use crate::{
    era_census::{CensusQuestion, CensusVerdict},
    key_leader::KnownRecord,
    prelude::*,
};

/// What the leader of a record that the store has lost does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreStep {
    /// Nothing: the store has the record.
    NotNeeded,
    /// Go on without the store until the other instances have spoken.
    Wait,
    /// Write the record again. `raises_fences`: under new fences, which owners of ranges get with
    /// their next renewal.
    Rewrite {
        /// Whether all ranges get new fences.
        raises_fences: bool,
    },
    /// Take over like any other instance.
    TakeOver,
}

impl KeyRecord {
    /// Number of fences by which a record is raised for each era since it was written; a leader gives
    /// out a few hundred per second at most.
    pub const LOST_FENCES: u64 = 1 << 20;
    /// The same for a record that a late write has replaced within its era. Several such steps are
    /// less than that of an era.
    const REPLACED_FENCES: u64 = 1 << 16;
    /// Number of terms by which a takeover is raised for each era since the record was written.
    pub const LOST_TERMS: u64 = 1 << 12;
    /// The same for a record that a late write has replaced within its era.
    const REPLACED_TERMS: u64 = 1 << 8;

    /// Whether the record, read at `revision`, is of an earlier era of the store than that in force.
    /// One that tells no era is, if a record is known of an earlier era than the revision.
    pub fn is_restored_copy(&self, revision: StoreRevision, known: Option<StoreRevision>) -> bool {
        match self.era {
            Some(era) => era < revision.era,
            None => known.is_some_and(|known| known.era < revision.era),
        }
    }

    /// Fence above all that may have been given out until `era`.
    fn fence_after_loss(&self, era: u64) -> u64 {
        let raised_by = match era.saturating_sub(self.era.unwrap_or_default()) {
            0 => Self::REPLACED_FENCES,
            eras => eras * Self::LOST_FENCES,
        };
        self.last_fence + raised_by
    }

    /// Term above all that may have been begun until `era`.
    fn term_after_loss(&self, era: u64) -> u64 {
        let raised_by = match era.saturating_sub(self.era.unwrap_or_default()) {
            0 => Self::REPLACED_TERMS,
            eras => eras * Self::LOST_TERMS,
        };
        self.term + raised_by
    }

    /// Gives each range a new fence. Those that `stay` are held by their owners throughout, whose next
    /// renewals raise their fences; the others move to their owners from unknown holders.
    pub(crate) fn raise_fences(&mut self, stays: impl Fn(&KeyRange) -> bool) {
        for range in &mut self.ranges {
            self.last_fence += 1;
            range.fence = self.last_fence;
            if !stays(range) {
                range.state = RangeState::Moving {
                    previous: Some(ServerIncarnation::unknown()),
                };
            }
        }
    }

    /// Adds a former leader. Which supporters it had last is not known.
    fn add_lost_leader(&mut self, leader: &InstanceIncarnation) {
        self.former.retain(|known| known.leader != *leader);
        self.former.push(FormerLeader {
            leader: leader.clone(),
            supporters: Vec::new(),
        });
    }
}

impl KeyLeader {
    /// Time after which an instance has the answer to a write, or never takes it for the answer.
    const ANSWER_TIME: Duration = Duration::from_secs(1);
    /// Time without enough support after which a leader takes over like any other instance.
    const SUPPORT_LOSS_TIME: Duration = Duration::from_secs(2);

    /// Takes note of the era of the store. From now on no record of an earlier one is taken over.
    pub fn learn_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.stored_copy = None;
            self.census.begin_era();
        }
    }

    /// Records the term that another instance told, and the era of the store that it knew. `heard_at`
    /// is as for [`Self::record_peer_term`].
    pub fn record_peer_report(
        &mut self,
        peer: &InstanceIncarnation,
        era: u64,
        term: u64,
        heard_at: Option<MonoTime>,
        now: MonoTime,
    ) {
        match era >= self.era {
            true => self.census.record_report(peer, term, heard_at, now),
            false => self.census.record_earlier(peer),
        }
    }

    /// Whether the store may lack the record that this instance knows, or has only a restored copy.
    pub fn needs_restore(&self) -> bool {
        let Some(KnownRecord { record, revision }) = &self.known else {
            return false;
        };
        let is_copy = record.is_restored_copy(*revision, None);
        is_copy || revision.era < self.era || self.stored_copy.is_some()
    }

    /// Takes note of a restored copy that the store has in place of the known record.
    pub(crate) fn record_restored_copy(&mut self, revision: StoreRevision, now: MonoTime) {
        let is_new = self.stored_copy.is_none_or(|(known, _)| known < revision);
        if revision.era == self.era && is_new {
            self.stored_copy = Some((revision, now));
        }
    }

    /// Decides what to do as the leader of a record that the store may have lost. `others` are the names
    /// of the other live instances.
    pub fn restore_step(&self, others: &[String], now: MonoTime) -> RestoreStep {
        let Some((record, revision)) = self.record().filter(|_| self.is_leader()) else {
            return RestoreStep::NotNeeded;
        };
        if !self.needs_restore() {
            return RestoreStep::NotNeeded;
        }
        // Supporters that are lost for good are replaced by a takeover only.
        let supported_since = now.before(Self::SUPPORT_LOSS_TIME);
        let has_lost_support = self.confirmation_age(now) >= Self::SUPPORT_LOSS_TIME
            && !self.support.suffices(&record.supporters, supported_since);
        if has_lost_support || self.confirmation_age(now) >= self.timing.authority {
            return RestoreStep::TakeOver;
        }
        if !self.has_authority(now) {
            return RestoreStep::Wait;
        }
        // Within one era an instance may not know of its takeover before it has the answer.
        let stored_copy = self.stored_copy.filter(|_| revision.era == self.era);
        let question = CensusQuestion {
            others,
            term: record.term,
            heard_since: stored_copy.map(|(_, at)| at.after(Self::ANSWER_TIME)),
            max_validity: self.ledger.max_validity(),
        };
        match self.census.verdict(question, now) {
            CensusVerdict::Incomplete | CensusVerdict::LaterTerm => RestoreStep::Wait,
            CensusVerdict::Complete { has_restarted } => RestoreStep::Rewrite {
                raises_fences: has_restarted,
            },
        }
    }

    /// Returns the known record as its leader writes it again, where the store has `stored`.
    pub fn rewritten_record(
        &self,
        stored: Option<&KeyRecord>,
        raises_fences: bool,
    ) -> Option<KeyRecord> {
        let mut record = self.known.as_ref()?.record.clone();
        record.last_fence = self.fence_after_loss([Some(&record), stored]);
        if raises_fences {
            record.raise_fences(KeyRange::is_settled);
        }
        Some(record)
    }

    /// Returns the record with which this instance takes over where the store has lost changes, and
    /// has `stored` instead.
    pub fn takeover_record(&self, service: &str, stored: Option<&KeyRecord>) -> KeyRecord {
        let known = self.known.as_ref().map(|known| &known.record);
        let own = &self.own_incarnation;
        let Some(base) = known.or(stored) else {
            let mut record = KeyRecord::new(service, own.clone());
            // The record of an earlier era may be lost as a whole.
            let earlier_eras = self.era.saturating_sub(1);
            record.last_fence = earlier_eras * KeyRecord::LOST_FENCES;
            record.term += earlier_eras * KeyRecord::LOST_TERMS;
            if earlier_eras > 0 {
                record.add_lost_leader(&InstanceIncarnation::unknown());
            }
            return record;
        };
        let mut record = base.clone();
        let records = [stored, Some(base)].into_iter().flatten();
        let terms = records.map(|record| record.term_after_loss(self.era));
        record.term = terms.max().unwrap_or_default();
        record.leader = own.clone();
        record.supporters.clear();
        record.former.clear();
        for lost in [stored, Some(base)].into_iter().flatten() {
            let former = lost.former.iter().map(|former| &former.leader);
            for leader in former.chain([&lost.leader]).filter(|leader| *leader != own) {
                record.add_lost_leader(leader);
            }
        }
        record.add_lost_leader(&InstanceIncarnation::unknown());
        record.last_fence = self.fence_after_loss([Some(base), stored]);
        record.raise_fences(|_| false);
        record
    }

    fn fence_after_loss(&self, records: [Option<&KeyRecord>; 2]) -> u64 {
        let records = records.into_iter().flatten();
        let fences = records.map(|record| record.fence_after_loss(self.era));
        fences.max().unwrap_or_default()
    }

    /// Records the end of an unknown former leader once all other live instances, except the former
    /// leaders that the record names, know the present term.
    pub fn end_unknown_leader(&mut self, others: &[String], now: MonoTime) {
        let Some(known) = self.known.as_ref().filter(|_| self.is_leader()) else {
            return;
        };
        let is_former = |name: &str| {
            let mut former = known.record.former.iter();
            former.any(|former| former.leader.instance == name)
        };
        if !is_former("") {
            return;
        }
        let names = others.iter().filter(|name| !is_former(name));
        if self.census.all_know(names, known.record.term) {
            self.former_leader_stopped(&InstanceIncarnation::unknown(), now);
        }
    }
}
