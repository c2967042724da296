//! Evacuated data centres, to whose servers nothing more is sent.
//!
//! The operators' objects in the store say which data centres are evacuated. Until they are known for
//! the first time, every data centre counts as evacuated for long: requests may otherwise reach servers
//! that an operator has been told are sent none. A store that was restored from a copy may lack an
//! object; the evacuation stays in force for the time in which operators write it again.

use crate::{prelude::*, settle_period::SettlePeriod};

/// Evacuated data centres, and those that were returned to service.
#[derive(Debug, Default)]
pub struct EvacuationTable {
    /// By name of the data centre.
    evacuations: IndexMap<String, Evacuation>,
    /// When data centres were returned to service, by name.
    taken_back: IndexMap<String, MonoTime>,
    is_known: bool,
    period: SettlePeriod,
}

#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// Latest revision of the operator's object.
    revision: StoreRevision,
    /// Time before which the evacuation was not in the store.
    since: MonoTime,
}

/// Begin or end of an evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the data centre.
    pub data_centre: String,
    /// Whether the data centre is evacuated from now on.
    pub is_evacuated: bool,
    /// Latest known revision of the operator's object.
    pub revision: StoreRevision,
}

/// Times of an update of the evacuations.
#[derive(Clone, Copy, Debug)]
pub struct EvacuationTimes {
    /// Time after which the changes were made in the store.
    pub changed_at: MonoTime,
    /// Time at which they became known.
    pub now: MonoTime,
}

impl EvacuationTable {
    /// Takes over the operators' `objects`, which are all that exist as of `revision`, by the names of
    /// their data centres. `removed` names those of which the update says that they were removed.
    pub fn update(
        &mut self,
        objects: &[(String, StoreRevision)],
        removed: &[String],
        revision: StoreRevision,
        times: EvacuationTimes,
    ) -> Vec<EvacuationChange> {
        self.is_known = true;
        self.period.begin(revision, times.now);
        for name in removed {
            self.taken_back.insert(name.clone(), times.now);
        }
        let mut changes = Vec::new();
        for (name, revision) in objects {
            if let Some(known) = self.evacuations.get_mut(name) {
                known.revision = known.revision.max(*revision);
                continue;
            }
            let evacuation = Evacuation {
                revision: *revision,
                since: times.changed_at,
            };
            self.evacuations.insert(name.clone(), evacuation);
            changes.push(change(name, evacuation, true));
        }
        let is_listed = |name: &String| objects.iter().any(|(listed, _)| listed == name);
        let missing = self.evacuations.iter().filter(|(name, known)| {
            let may_be_lost = known.revision.era < revision.era
                && self.period.is_running(times.now)
                && !removed.contains(name);
            !is_listed(name) && !may_be_lost
        });
        let missing: Vec<String> = missing.map(|(name, _)| name.clone()).collect();
        changes.extend(self.end(&missing, times.now));
        changes
    }

    /// Ends evacuations of an earlier era of the store, once operators have had time to write them
    /// again.
    pub fn settle(&mut self, now: MonoTime) -> Vec<EvacuationChange> {
        if !self.period.end_if_over(now) {
            return Vec::new();
        }
        let era = self.period.era();
        let lost = self
            .evacuations
            .iter()
            .filter(|(_, known)| known.revision.era < era);
        let lost: Vec<String> = lost.map(|(name, _)| name.clone()).collect();
        self.end(&lost, now)
    }

    /// Whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.since(data_centre).is_some()
    }

    /// Time from which a data centre counts as evacuated, which is not after the change in the store.
    pub fn since(&self, data_centre: &str) -> Option<MonoTime> {
        if !self.is_known {
            return Some(MonoTime::default());
        }
        let evacuation = self.evacuations.get(data_centre)?;
        Some(evacuation.since)
    }

    /// When it became known that a data centre was returned to service; `None` while it is evacuated,
    /// or if it never was.
    pub fn taken_back_at(&self, data_centre: &str) -> Option<MonoTime> {
        let at = self.taken_back.get(data_centre).copied();
        at.filter(|_| !self.is_evacuated(data_centre))
    }

    /// Whether the operators' objects have been known once.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Number of evacuated data centres.
    pub fn count(&self) -> usize {
        self.evacuations.len()
    }

    fn end(&mut self, names: &[String], now: MonoTime) -> Vec<EvacuationChange> {
        let mut changes = Vec::with_capacity(names.len());
        for name in names {
            if let Some(evacuation) = self.evacuations.shift_remove(name) {
                self.taken_back.insert(name.clone(), now);
                changes.push(change(name, evacuation, false));
            }
        }
        changes
    }
}

fn change(name: &str, evacuation: Evacuation, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        data_centre: name.into(),
        is_evacuated,
        revision: evacuation.revision,
    }
}
