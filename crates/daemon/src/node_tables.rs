//! Tables that the workers of an instance share.
//!
//! Lock order: `gate`, `instances`, `parts`, `electors`, `peers`, `led_parts`, `hints`, `pending_changes`, then
//! the slots and sessions of servers. A worker that holds one of them takes only later ones, and
//! none across an await.

use crate::prelude::*;

/// Shared tables of an instance.
pub(crate) struct NodeTables {
    me: InstanceId,
    timing: TimingSettings,
    started: MonoTime,
    /// Configuration in force.
    pub(crate) gate: Mutex<RevisionGate>,
    /// Registered instances by name.
    pub(crate) instances: Mutex<IndexMap<String, InstanceRecord>>,
    /// Latest known record of each part.
    pub(crate) parts: Mutex<IndexMap<PartId, KnownPart>>,
    /// Leadership of each known part.
    pub(crate) electors: Mutex<IndexMap<PartId, LeaderElector>>,
    /// Signs of life of other instances.
    pub(crate) peers: Mutex<PeerBook>,
    /// Parts that this instance leads.
    pub(crate) led_parts: Mutex<IndexMap<PartId, LedPart>>,
    /// Guesses of leaders that differ from the record.
    pub(crate) hints: Mutex<IndexMap<PartId, LeaderHint>>,
    /// Wanted changes of slices that are not written yet.
    pub(crate) pending_changes: Mutex<IndexMap<PartId, Vec<SliceChange>>>,
}

/// A part's latest known record.
#[derive(Clone, Debug)]
pub(crate) struct KnownPart {
    /// Record.
    pub(crate) record: PartRecord,
    /// Last record of the term before, where this instance has seen it.
    pub(crate) former: Option<PartRecord>,
}

/// Who led a part before.
#[derive(Clone, Debug)]
pub(crate) enum FormerLeadership {
    /// Nobody.
    None,
    /// This instance has not seen it.
    Unknown,
    /// The trio of this record.
    Known(PartRecord),
}

/// Counts a request for a key of a led part until it is dropped.
pub(crate) struct SliceGuard<'a> {
    tables: &'a NodeTables,
    part: PartId,
    hash: KeyHash,
}

impl Drop for SliceGuard<'_> {
    fn drop(&mut self) {
        if let Some(part) = self.tables.led_parts.lock().unwrap().get_mut(&self.part) {
            part.request_finished(self.hash);
        }
    }
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
    /// Empty tables of the run `me` that begins at `started`.
    pub(crate) fn new(me: &InstanceId, timing: TimingSettings, started: MonoTime) -> Self {
        Self {
            me: me.clone(),
            timing,
            started,
            gate: Mutex::default(),
            instances: Mutex::default(),
            parts: Mutex::default(),
            electors: Mutex::default(),
            peers: Mutex::default(),
            led_parts: Mutex::default(),
            hints: Mutex::default(),
            pending_changes: Mutex::default(),
        }
    }

    /// Part that holds `hash`.
    pub(crate) fn part_of(&self, service: &ServiceName, hash: KeyHash) -> Option<PartId> {
        let gate = self.gate.lock().unwrap();
        let parts = gate.head()?.services.get(service)?.parts;
        Some(PartId::new(service.clone(), hash.part_index(parts)))
    }

    /// Leader of the part that holds `hash`.
    pub(crate) fn leader_of(&self, service: &ServiceName, hash: KeyHash) -> Option<LeaderAddress> {
        let id = self.part_of(service, hash)?;
        let instances = self.instances.lock().unwrap();
        let known = self.parts.lock().unwrap();
        let record = &known.get(&id)?.record;
        let hints = self.hints.lock().unwrap();
        let leader = LeaderHint::leader(hints.get(&id), record);
        let registered = instances.get(&leader.name);
        let Some(registered) = registered.filter(|registered| registered.id == leader) else {
            drop(hints);
            self.hint_after(record, &leader);
            return None;
        };
        Some(LeaderAddress {
            id: leader,
            address: registered.peer_address,
            term: record.term,
        })
    }

    /// Notes that `missed` did not lead the part that holds `hash`: the next member of the trio is
    /// asked next.
    pub(crate) fn record_wrong_leader(
        &self,
        service: &ServiceName,
        hash: KeyHash,
        missed: &InstanceId,
    ) {
        let Some(id) = self.part_of(service, hash) else {
            return;
        };
        let known = self.parts.lock().unwrap();
        if let Some(known) = known.get(&id) {
            self.hint_after(&known.record, missed);
        }
    }

    fn hint_after(&self, record: &PartRecord, missed: &InstanceId) {
        let hint = LeaderHint::after_failure(record, missed);
        self.hints.lock().unwrap().insert(record.id.clone(), hint);
    }

    /// Class `name` of a service.
    pub(crate) fn find_class(&self, service: &ServiceName, name: &str) -> Option<RequestClass> {
        let gate = self.gate.lock().unwrap();
        let classes = &gate.head()?.services.get(service)?.classes;
        classes.iter().find(|class| class.name == name).cloned()
    }

    /// Counts a request for a key of the led `part` until the guard is dropped.
    pub(crate) fn begin(&self, part: &PartId, hash: KeyHash) -> SliceGuard<'_> {
        if let Some(part) = self.led_parts.lock().unwrap().get_mut(part) {
            part.request_started(hash);
        }
        SliceGuard {
            tables: self,
            part: part.clone(),
            hash,
        }
    }

    /// Start of the slice of a led part that holds `hash`.
    pub(crate) fn slice_start(&self, part: &PartId, hash: KeyHash) -> Option<u64> {
        let led = self.led_parts.lock().unwrap();
        let entry = led.get(part)?.record.slice_of(hash)?;
        Some(entry.start)
    }

    /// Asks for changes of a led part's slices.
    pub(crate) fn request_changes(&self, part: &PartId, changes: Vec<SliceChange>) {
        let mut waiting = self.pending_changes.lock().unwrap();
        waiting.entry(part.clone()).or_default().extend(changes);
    }

    /// Takes in a part's record; an older one is dropped.
    pub(crate) fn learn_part(&self, record: PartRecord, now: MonoTime) {
        let mut parts = self.parts.lock().unwrap();
        let mut electors = self.electors.lock().unwrap();
        match electors.get_mut(&record.id) {
            Some(elector) => elector.learn_record(record.clone(), now),
            None => {
                let elector =
                    LeaderElector::new(&self.me, record.clone(), self.started, now, self.timing);
                electors.insert(record.id.clone(), elector);
            }
        }
        let former = match parts.get(&record.id) {
            Some(known) if known.record.edition >= record.edition => return,
            Some(known) if known.record.term < record.term => Some(known.record.clone()),
            Some(known) => known.former.clone(),
            None => None,
        };
        let known = KnownPart { record, former };
        parts.insert(known.record.id.clone(), known);
    }

    /// Who led `part` before the holder of `authority`.
    pub(crate) fn former_leadership(
        &self,
        part: &PartId,
        authority: FenceToken,
    ) -> FormerLeadership {
        let parts = self.parts.lock().unwrap();
        let Some(known) = parts.get(part) else {
            return FormerLeadership::Unknown;
        };
        if authority.rank > 0 && known.record.term == authority.term {
            return FormerLeadership::Known(known.record.clone());
        }
        match &known.former {
            Some(former) if former.term + 1 == authority.term => {
                FormerLeadership::Known(former.clone())
            }
            None if authority.term == 1 && known.record.term == 1 => FormerLeadership::None,
            _ => FormerLeadership::Unknown,
        }
    }

    /// Leader and standbys of `part`.
    pub(crate) fn members_of(&self, part: &PartId) -> Vec<InstanceId> {
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
