//! The store comes back from an older copy, and what the operator and the servers wrote since is
//! written again.

use super::{
    change_world::{ChangeWorld, WorldEvent},
    simulated_store::StoredChange,
};
use crate::prelude::*;
use rand::RngExt;
use std::rc::Rc;

impl ChangeWorld {
    /// Time within which the operator writes a lost configuration again.
    const OPERATOR_TIME: Duration = Duration::from_millis(50);
    /// Time within which servers write their entries again.
    const SERVER_TIME: Duration = Duration::from_secs(2);

    /// Has the store go back to its copy of some time ago. Open watches stay open unless the store
    /// then refuses calls for a time.
    pub(super) fn restore_store(&mut self, age: Duration, outage: Duration) {
        let now = self.now;
        let lost = self.store.restore(now.before(age));
        self.checker.record_restore(now, now.before(age));
        let until = now.after(outage);
        (0..self.instances.len()).for_each(|index| self.disturb(index, until));
        if !outage.is_zero() {
            self.refuse_calls(outage);
        }
        self.schedule_rewrites(lost, until);
    }

    fn schedule_rewrites(&mut self, mut lost: Vec<StoredChange>, from: MonoTime) {
        // What the system wrote is gone.
        lost.retain(|change| change.kind != ObjectKind::Records);
        let changes = lost.len() as u32;
        for (position, change) in lost.into_iter().enumerate() {
            let delay = match change.kind {
                // In the order of the versions.
                ObjectKind::Configuration => Self::OPERATOR_TIME * position as u32 / changes,
                _ => Self::SERVER_TIME.mul_f64(self.rng.random()),
            };
            self.schedule(from.after(delay), WorldEvent::Rewrite(Rc::new(change)));
        }
    }

    /// Writes again what was lost, unless it has been overtaken.
    pub(super) fn rewrite(&mut self, lost: &StoredChange) {
        let (kind, write) = (lost.kind, lost.write);
        let object = &lost.event.object;
        let known = self.store.object(kind, &object.name).map(write_of);
        let is_removed = lost.event.is_removed;
        let is_overtaken = match (kind, is_removed) {
            // The operator writes all versions again.
            (ObjectKind::Configuration, _) => known >= Some(write),
            (_, true) => known.is_none() || self.writes[&object.name] > write,
            (_, false) => known >= Some(write) || self.writes[&object.name] > write,
        };
        if !is_overtaken {
            let spec = (!is_removed).then_some(&object.spec);
            self.write(kind, &object.name, spec, write);
        }
    }
}

/// Number of the write that made an object what it is.
pub(super) fn write_of(object: &PlatformObject) -> u64 {
    object.spec["write"].as_u64().unwrap_or_default()
}
