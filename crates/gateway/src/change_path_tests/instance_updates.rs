//! What an instance does with updates of the store's objects, as `update_router`,
//! `configuration_worker` and `record_worker` do.

use super::{
    restore_fault::write_of,
    simulated_instance::{LeaderRecord, SimulatedInstance},
};
use crate::{peer_heartbeat::RecordUpdate, prelude::*, update_router};

impl SimulatedInstance {
    /// Applies an update as `update_router` does. Returns whether there was anything new.
    pub(super) fn apply(
        &mut self,
        kind: ObjectKind,
        update: &StoreUpdate,
        is_from_store: bool,
        now: MonoTime,
    ) -> bool {
        let before = self.mirror.latest_revisions();
        self.mirror.apply(kind, update);
        if is_from_store {
            self.record_revisions(update);
        }
        if kind == ObjectKind::Configuration {
            self.install(update);
        }
        if kind == ObjectKind::Records {
            match update {
                StoreUpdate::List(page) => page
                    .objects
                    .iter()
                    .for_each(|object| self.apply_record(object, false, now)),
                StoreUpdate::Changes(changes) => changes
                    .events
                    .iter()
                    .for_each(|event| self.apply_record(&event.object, event.is_removed, now)),
            }
        }
        before != self.mirror.latest_revisions()
    }

    /// Installs a later configuration, as `configuration_worker` does.
    fn install(&mut self, update: &StoreUpdate) {
        let is_configuration =
            |object: &&PlatformObject| object.name == ObjectKind::CONFIGURATION_NAME;
        let writes: Vec<u64> = match update {
            StoreUpdate::List(page) => {
                let objects = page.objects.iter().filter(is_configuration);
                objects.map(write_of).collect()
            }
            StoreUpdate::Changes(changes) => {
                let events = changes.events.iter().filter(|event| !event.is_removed);
                let objects = events.map(|event| &event.object).filter(is_configuration);
                objects.map(write_of).collect()
            }
        };
        self.configuration = self.configuration.max(writes.into_iter().max());
    }

    /// Records which changes are known now.
    fn record_revisions(&mut self, update: &StoreUpdate) {
        if self.guards.coverage_eras {
            update_router::record_revisions(&mut self.knowledge, update);
            return;
        }
        let revisions: Vec<StoreRevision> = match update {
            StoreUpdate::List(page) => {
                let objects = page.objects.iter();
                objects.map(|object| object.revision).collect()
            }
            StoreUpdate::Changes(changes) => {
                let events = changes.events.iter();
                events.map(|event| event.object.revision).collect()
            }
        };
        for revision in revisions {
            self.knowledge.record_change(self.covered(revision));
        }
    }

    /// A revision as the age of the knowledge takes it.
    pub(super) fn covered(&self, revision: StoreRevision) -> StoreRevision {
        match self.guards.coverage_eras {
            true => revision,
            false => revision.number.into(),
        }
    }

    fn apply_record(&mut self, object: &PlatformObject, is_removed: bool, now: MonoTime) {
        if object.name.starts_with(KeyView::PREFIX) {
            let record: LeaderRecord = RecordBody::read(object).unwrap();
            self.adopt(record, object.revision, now);
        } else if let (Some(name), true) =
            (object.name.strip_prefix(InstanceRecord::PREFIX), is_removed)
        {
            self.peers.remove(name, object.revision, now);
        } else if let Ok(record) = RecordBody::read::<InstanceRecord>(object) {
            self.peers.insert(record, object.revision, now);
        }
    }

    /// Adopts a key record that is newer than the known one.
    pub(super) fn adopt(&mut self, record: LeaderRecord, revision: StoreRevision, now: MonoTime) {
        let known = self.leader.as_ref();
        if known.is_some_and(|(_, known)| *known >= revision) {
            return;
        }
        if known.map(|(leader, _)| leader.term) != Some(record.term) {
            self.led_since = now;
            self.confirmed_at = None;
        }
        self.leader = Some((record, revision));
    }

    /// Applies a change of the key record that a heartbeat tells.
    pub(super) fn apply_record_update(&mut self, update: &RecordUpdate, now: MonoTime) {
        let Some((leader, base)) = self.leader.clone() else {
            return;
        };
        if base == update.base_revision {
            let object = PlatformObject {
                name: format!("{}{}", KeyView::PREFIX, Self::SERVICE),
                revision: update.revision,
                spec: RecordBody::write(&leader).unwrap(),
                status: serde_json::Value::Null,
            };
            self.mirror.insert(ObjectKind::Records, object);
            self.adopt(leader, update.revision, now);
        }
    }
}
