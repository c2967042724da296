//! Tables that the workers of an instance share.
//!
//! Lock order: `gate`, `instances`, `parts`, `led`, then the slots and sessions of servers. A worker
//! that holds one of them takes only later ones, and none across an await.

use crate::prelude::*;

/// Shared tables of an instance.
#[derive(Default)]
pub(crate) struct NodeTables {
    /// Configuration in force.
    pub(crate) gate: Mutex<RevisionGate>,
    /// Registered instances by name.
    pub(crate) instances: Mutex<IndexMap<String, InstanceRecord>>,
    /// Latest known record of each part.
    pub(crate) parts: Mutex<IndexMap<PartId, KnownPart>>,
    /// Parts that this instance leads.
    pub(crate) led: Mutex<IndexMap<PartId, LedPart>>,
}

/// A part's record at its version.
#[derive(Clone, Debug)]
pub(crate) struct KnownPart {
    /// Version of the object.
    pub(crate) version: ObjectVersion,
    /// Record.
    pub(crate) record: PartRecord,
}

/// Where the leader of a part is reached.
#[derive(Clone, Debug)]
pub(crate) struct LeaderAddress {
    /// Identity of the leader.
    pub(crate) id: InstanceId,
    /// Address of its peers' listener.
    pub(crate) address: SocketAddr,
    /// Term in which it leads.
    pub(crate) term: u64,
}

impl NodeTables {
    /// Leader of the part that holds `hash`.
    pub(crate) fn leader_of(&self, service: &ServiceName, hash: KeyHash) -> Option<LeaderAddress> {
        let gate = self.gate.lock().unwrap();
        let parts = gate.head()?.services.get(service)?.parts;
        let instances = self.instances.lock().unwrap();
        let known = self.parts.lock().unwrap();
        let record = &known
            .get(&PartId::new(service.clone(), hash.part_index(parts)))?
            .record;
        let leader = instances.get(&record.leader.name)?;
        (leader.id == record.leader).then(|| LeaderAddress {
            id: leader.id.clone(),
            address: leader.peer_address,
            term: record.term,
        })
    }

    /// Class `name` of a service.
    pub(crate) fn class_of(&self, service: &ServiceName, name: &str) -> Option<RequestClass> {
        let gate = self.gate.lock().unwrap();
        let classes = &gate.head()?.services.get(service)?.classes;
        classes.iter().find(|class| class.name == name).cloned()
    }

    /// Takes in a part's record; an older one is dropped.
    pub(crate) fn learn_part(&self, me: &InstanceId, version: ObjectVersion, record: PartRecord) {
        let mut parts = self.parts.lock().unwrap();
        if parts
            .get(&record.id)
            .is_some_and(|known| known.version >= version)
        {
            return;
        }
        let mut led = self.led.lock().unwrap();
        if record.leader != *me {
            led.swap_remove(&record.id);
        } else if let Some(part) = led.get_mut(&record.id) {
            part.record = record.clone();
        } else {
            led.insert(record.id.clone(), LedPart::new(record.clone()));
        }
        parts.insert(record.id.clone(), KnownPart { version, record });
    }
}
