//! Checks that confirmed changes are in force in time, and counts the calls to the store.

use super::{
    change_world::{ChangeWorld, WorldEvent},
    restore_fault::write_of,
    simulated_instance::SimulatedInstance,
};
use crate::prelude::*;

/// Time after its confirmation at which a change has to be in force.
pub(super) const BOUND: Duration = Duration::from_secs(2);
/// Time without a disturbance after which an instance is in touch.
const TOUCH_TIME: Duration = Duration::from_secs(3);

/// Change that the store has confirmed.
struct ConfirmedChange {
    at: MonoTime,
    kind: ObjectKind,
    name: String,
    /// Number of the write; a lost change that is written again has that of the first time.
    write: u64,
    /// Era of the store that has confirmed it.
    era: u64,
    is_removed: bool,
    /// Whether the store has lost it since.
    is_lost: bool,
}

/// What a run has shown.
#[derive(Default)]
pub(super) struct ChangeChecker {
    changes: Vec<ConfirmedChange>,
    disturbed_until: IndexMap<usize, MonoTime>,
    /// Latest configuration of each process.
    configurations: IndexMap<(usize, u64), (u64, StoreRevision)>,
    pub(super) violations: Vec<String>,
    /// Number of changes that an instance in touch had to have in force.
    pub(super) checks: usize,
    /// Time after which the last instance in touch had a configuration in force.
    pub(super) slowest: Duration,
    /// When the store received calls.
    pub(super) calls: Vec<MonoTime>,
    /// Calls that listed objects.
    pub(super) lists: Vec<MonoTime>,
    restored_at: Option<MonoTime>,
    /// Time from the last restore after which the last instance knew a list of the new era.
    pub(super) era_known: Duration,
    /// When instances sent heartbeats, one for each receiver.
    heartbeats: Vec<MonoTime>,
    pub(super) largest_heartbeat: usize,
    /// Bytes of replies that all instances have sent.
    pub(super) sent_bytes: u64,
}

/// Largest number of times within one second, from `after` the start of the run.
fn most_per_second(times: &[MonoTime], after: Duration) -> usize {
    let second = Duration::from_secs(1);
    let from = ChangeWorld::START.after(after);
    let until = |at: MonoTime| times.partition_point(|time| *time < at);
    let later = times.iter().enumerate().filter(|(_, at)| **at >= from);
    let counts = later.map(|(index, at)| until(at.after(second)) - index);
    counts.max().unwrap_or_default()
}

impl ChangeChecker {
    pub(super) fn record_call(&mut self, now: MonoTime) {
        self.calls.push(now);
    }

    pub(super) fn record_list(&mut self, now: MonoTime) {
        self.lists.push(now);
    }

    /// Records that the store has lost what it confirmed after `copied_at`.
    pub(super) fn record_restore(&mut self, now: MonoTime, copied_at: MonoTime) {
        self.restored_at = Some(now);
        self.era_known = Duration::ZERO;
        let lost = self
            .changes
            .iter_mut()
            .filter(|change| change.at > copied_at);
        lost.for_each(|change| change.is_lost = true);
    }

    pub(super) fn record_heartbeat(&mut self, now: MonoTime) {
        self.heartbeats.push(now);
    }

    /// Largest number of calls within one second, from `after` the start of the run.
    pub(super) fn most_calls_per_second(&self, after: Duration) -> usize {
        most_per_second(&self.calls, after)
    }

    /// Largest number of heartbeats within one second, from `after` the start of the run.
    pub(super) fn most_heartbeats_per_second(&self, after: Duration) -> usize {
        most_per_second(&self.heartbeats, after)
    }

    /// Number of calls, and of lists among them, within `span` from `after` the start of the run.
    pub(super) fn calls_within(&self, after: Duration, span: Duration) -> [usize; 2] {
        let from = ChangeWorld::START.after(after);
        let until = from.after(span);
        [&self.calls, &self.lists]
            .map(|times| times.iter().filter(|at| (from..until).contains(at)).count())
    }

    /// Number of calls from `after` the start of the run.
    pub(super) fn calls_after(&self, after: Duration) -> usize {
        let from = ChangeWorld::START.after(after);
        self.calls.iter().filter(|at| **at >= from).count()
    }

    /// Records when an instance has the objects that matter as of the store's era.
    fn record_era(&mut self, instance: &mut SimulatedInstance, era: u64, now: MonoTime) {
        let Some(restored_at) = self.restored_at else {
            return;
        };
        let synced = instance.mirror.synced_revisions();
        let is_first = instance.listed_era != era;
        if is_first && synced[..2].iter().all(|revision| revision.era == era) {
            instance.listed_era = era;
            self.era_known = self.era_known.max(now.since(restored_at));
        }
    }

    fn is_in_touch(&self, instance: usize, now: MonoTime) -> bool {
        let disturbed = self.disturbed_until.get(&instance);
        disturbed.is_none_or(|until| until.after(TOUCH_TIME) <= now)
    }

    /// Whether a later change of the same object has replaced this one.
    fn is_replaced(&self, index: usize) -> bool {
        let change = &self.changes[index];
        self.changes[index + 1..]
            .iter()
            .any(|later| later.kind == change.kind && later.name == change.name && !later.is_lost)
    }
}

impl std::fmt::Display for ChangeChecker {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            f,
            "{} checks, slowest {} ms, {} violations, {} calls, at most {} in a second, heartbeats of up to {} bytes",
            self.checks,
            self.slowest.as_millis(),
            self.violations.len(),
            self.calls.len(),
            self.most_calls_per_second(Duration::from_secs(3)),
            self.largest_heartbeat,
        )
    }
}

impl ChangeWorld {
    pub(super) fn disturb(&mut self, instance: usize, until: MonoTime) {
        let disturbed = self.checker.disturbed_until.entry(instance).or_default();
        *disturbed = until.max(*disturbed);
        let at = disturbed.after(TOUCH_TIME);
        self.schedule(at, WorldEvent::CheckInstance(instance));
    }

    pub(super) fn record_change(
        &mut self,
        kind: ObjectKind,
        name: &str,
        write: u64,
        is_removed: bool,
    ) {
        self.checker.changes.push(ConfirmedChange {
            at: self.now,
            kind,
            name: name.into(),
            write,
            era: self.store.era,
            is_removed,
            is_lost: false,
        });
        let change = self.checker.changes.len() - 1;
        self.schedule_in(BOUND, WorldEvent::CheckChange(change));
    }

    /// Checks one change at all instances in touch.
    pub(super) fn check_change(&mut self, change: usize) {
        for instance in 0..self.instances.len() {
            self.check(instance, change);
        }
    }

    /// Checks all changes at an instance that is in touch again.
    pub(super) fn check_instance(&mut self, instance: usize) {
        for change in 0..self.checker.changes.len() {
            if self.checker.changes[change].at.after(BOUND) <= self.now {
                self.check(instance, change);
            }
        }
    }

    fn check(&mut self, instance: usize, change: usize) {
        let confirmed = &self.checker.changes[change];
        if confirmed.is_lost || !self.checker.is_in_touch(instance, self.now) {
            return;
        }
        let simulated = &self.instances[instance];
        let known = simulated.mirror.get(confirmed.kind, &confirmed.name);
        let is_known = match known {
            Some(object) => write_of(object) >= confirmed.write,
            // A later removal may be known early.
            None => confirmed.is_removed || self.checker.is_replaced(change),
        };
        let is_configuration = confirmed.kind == ObjectKind::Configuration;
        let is_in_force = !is_configuration || simulated.configuration >= Some(confirmed.write);
        self.checker.checks += 1;
        if !is_known || !is_in_force {
            let text = format!(
                "{} ms: instance {instance} lacks {} {} of write {}, confirmed {} ms before in era {}; it knows {}",
                self.now.since(Self::START).as_millis(),
                confirmed.kind.label(),
                confirmed.name,
                confirmed.write,
                self.now.since(confirmed.at).as_millis(),
                confirmed.era,
                known.map_or("none".into(), |object| format!(
                    "{} as of {}",
                    write_of(object),
                    object.revision
                )),
            );
            self.checker.violations.push(text);
        }
    }

    /// Checks that neither the configuration nor its revision has gone back, after an update.
    pub(super) fn check_order(&mut self, instance: usize) {
        let now = self.now;
        let simulated = &mut self.instances[instance];
        self.checker.record_era(simulated, self.store.era, now);
        let name = ObjectKind::CONFIGURATION_NAME;
        let object = simulated.mirror.get(ObjectKind::Configuration, name);
        // Without eras, revisions go back with the store.
        let revision = object.filter(|_| simulated.guards.has_eras());
        let revision = revision.map_or(StoreRevision::ZERO, |object| object.revision);
        let write = simulated.configuration.unwrap_or_default();
        let process = (instance, simulated.record.incarnation);
        let known = self.checker.configurations.entry(process).or_default();
        let before = std::mem::replace(known, (write, revision));
        if write < before.0 || revision < before.1 {
            let text = format!(
                "instance {instance} goes back from write {} at {} to {write} at {revision}",
                before.0, before.1
            );
            self.checker.violations.push(text);
        }
        if write > before.0 && self.checker.is_in_touch(instance, now) {
            let mut changes = self.checker.changes.iter();
            let change = changes.find(|change| change.write == write && !change.is_lost);
            if let Some(change) = change {
                self.checker.slowest = self.checker.slowest.max(now.since(change.at));
            }
        }
    }
}
