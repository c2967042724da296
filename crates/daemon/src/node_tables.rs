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
    /// Last record of the term before, where this instance has seen it.
    pub(crate) former: Option<PartRecord>,
}

/// Who led a part before.
#[derive(Clone, Debug)]
pub(crate) enum FormerLead {
    /// Nobody.
    Never,
    /// This instance has not seen it.
    Unknown,
    /// The trio of this record.
    Record(PartRecord),
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
        let former = match parts.get(&record.id) {
            Some(known) if known.record.term < record.term => Some(known.record.clone()),
            Some(known) => known.former.clone(),
            None => None,
        };
        let mut led = self.led.lock().unwrap();
        if record.leader != *me {
            led.swap_remove(&record.id);
        } else if let Some(part) = led.get_mut(&record.id) {
            part.record = record.clone();
        } else {
            led.insert(record.id.clone(), LedPart::new(record.clone()));
        }
        let known = KnownPart {
            version,
            record,
            former,
        };
        parts.insert(known.record.id.clone(), known);
    }

    /// Who led `part` before the holder of `authority`.
    pub(crate) fn former_of(&self, part: &PartId, authority: FenceToken) -> FormerLead {
        let parts = self.parts.lock().unwrap();
        let Some(known) = parts.get(part) else {
            return FormerLead::Unknown;
        };
        if authority.rank > 0 && known.record.term == authority.term {
            return FormerLead::Record(known.record.clone());
        }
        match &known.former {
            Some(former) if former.term + 1 == authority.term => FormerLead::Record(former.clone()),
            None if authority.term == 1 && known.record.term == 1 => FormerLead::Never,
            _ => FormerLead::Unknown,
        }
    }

    /// Leader and standbys of `part`.
    pub(crate) fn trio_of(&self, part: &PartId) -> Vec<InstanceId> {
        let parts = self.parts.lock().unwrap();
        let Some(known) = parts.get(part) else {
            return Vec::new();
        };
        std::iter::once(&known.record.leader)
            .chain(&known.record.standbys)
            .cloned()
            .collect()
    }

    /// Address of the peers' listener of a run of an instance.
    pub(crate) fn address_of(&self, id: &InstanceId) -> Option<SocketAddr> {
        let instances = self.instances.lock().unwrap();
        let record = instances.get(&id.name)?;
        (record.id == *id).then_some(record.peer_address)
    }
}
