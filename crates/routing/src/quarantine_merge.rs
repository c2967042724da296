//! Merge of the quarantines that an instance knows with the store's record.
//!
//! In one era of the store the record is the newer state: what it lacks has ended. The record of a new
//! era comes from an older copy. Quarantines and trials that it lacks are *lost*: they stay in force,
//! without further trials, until an instance has written them again. Quarantines that it has although
//! they have ended are removed from it again.

use crate::{
    prelude::*,
    suspect_entry::{QuarantineStage, StageStorage, SuspectEntry},
};

impl QuarantineTable {
    /// Largest number of ended quarantines that are remembered.
    const MAX_ENDED: usize = 256;

    /// Takes over the store's record of `revision`, unless a newer one is known.
    pub fn apply_record(
        &mut self,
        record: &QuarantineRecord,
        revision: StoreRevision,
        now: MonoTime,
    ) {
        if revision <= self.record_revision {
            return;
        }
        let is_restored = self.is_later_era(revision);
        self.record_revision = revision;
        self.merge_ended(record, is_restored);
        for (identity, stored) in &record.requests {
            if self.lifted.contains_key(identity) {
                continue;
            }
            let entry = self
                .entries
                .entry(*identity)
                .or_insert_with(|| SuspectEntry::new(stored.target, stored.is_keyed));
            entry.quarantine = Some(merge_stage(entry.quarantine, stored, is_restored, now));
        }
        for (identity, entry) in &mut self.entries {
            let Some(stage) = &mut entry.quarantine else {
                continue;
            };
            if record.requests.contains_key(identity) || stage.storage != StageStorage::Stored {
                continue;
            }
            if is_restored {
                stage.storage = StageStorage::Lost;
                continue;
            }
            entry.quarantine = None;
            entry.set_verdict(CrashVerdict::Answered, now, |_, _| true);
            self.ended.insert(*identity);
        }
        while self.ended.len() > Self::MAX_ENDED {
            self.ended.shift_remove_index(0);
        }
        let is_behind = self.lost_count() > 0 || !self.lifted.is_empty();
        self.is_restoring = is_behind && (is_restored || self.is_restoring);
    }

    /// Takes note that the store has no record at a revision. That counts if it is of a later era
    /// than the known record.
    pub fn apply_missing_record(&mut self, revision: StoreRevision, now: MonoTime) {
        if self.is_later_era(revision) {
            self.apply_record(&QuarantineRecord::default(), revision, now);
        }
    }

    /// Whether a restore of the store has lost changes of the record that this instance knows.
    pub fn is_restoring(&self) -> bool {
        self.is_restoring
    }

    /// Number of quarantines that the store has lost, or of which it has lost trials.
    pub fn lost_count(&self) -> usize {
        let stages = self.entries.values().filter_map(|entry| entry.quarantine);
        stages
            .filter(|stage| stage.storage == StageStorage::Lost)
            .count()
    }

    /// Applies to `record` what this instance knows and the store does not; returns whether the
    /// record changed. Instances apply what they found out themselves; a leader, and any instance
    /// after a restore, all.
    pub fn update_record(
        &self,
        record: &mut QuarantineRecord,
        applies_all: bool,
        now_s: u64,
    ) -> bool {
        let mut has_changed = false;
        for (identity, is_own) in &self.lifted {
            if *is_own || applies_all {
                has_changed |= record.requests.shift_remove(identity).is_some();
            }
        }
        for (identity, entry) in &self.entries {
            let is_own = entry.marks.values().any(|mark| mark.is_own);
            let Some(stage) = entry.quarantine.filter(|_| is_own || applies_all) else {
                continue;
            };
            match (stage.storage, record.requests.get_mut(identity)) {
                (StageStorage::Pending | StageStorage::Lost, None) => {
                    let request = QuarantinedRequest {
                        target: entry.target,
                        is_keyed: entry.is_keyed,
                        trials: stage.trials,
                        added_s: now_s,
                    };
                    record.requests.insert(*identity, request);
                    has_changed = true;
                }
                (StageStorage::Lost, Some(request)) if request.trials < stage.trials => {
                    request.trials = stage.trials;
                    has_changed = true;
                }
                _ => {}
            }
        }
        if has_changed {
            record.drop_expired(now_s);
        }
        has_changed
    }

    fn is_later_era(&self, revision: StoreRevision) -> bool {
        self.record_revision > StoreRevision::ZERO && revision.era > self.record_revision.era
    }

    /// Moves quarantines that have ended between those that the record still contains and others.
    fn merge_ended(&mut self, record: &QuarantineRecord, is_restored: bool) {
        let ended = &mut self.ended;
        self.lifted.retain(|identity, _| {
            let is_listed = record.requests.contains_key(identity);
            if !is_listed {
                ended.insert(*identity);
            }
            is_listed
        });
        let listed: Vec<RequestIdentity> = ended
            .iter()
            .filter(|identity| record.requests.contains_key(*identity))
            .copied()
            .collect();
        for identity in listed {
            // In the same era, another instance has quarantined it again.
            ended.shift_remove(&identity);
            if is_restored {
                self.lifted.insert(identity, false);
            }
        }
    }
}

/// Stage of a quarantine that is known, or not, and in the store's record.
fn merge_stage(
    known: Option<QuarantineStage>,
    stored: &QuarantinedRequest,
    is_restored: bool,
    now: MonoTime,
) -> QuarantineStage {
    match known {
        Some(stage)
            if stage.trials > stored.trials
                && (is_restored || stage.storage == StageStorage::Lost) =>
        {
            QuarantineStage {
                storage: StageStorage::Lost,
                ..stage
            }
        }
        _ => QuarantineStage {
            trials: stored.trials,
            since: known
                .filter(|stage| stage.trials >= stored.trials)
                .map_or(now, |stage| stage.since),
            storage: StageStorage::Stored,
        },
    }
}
