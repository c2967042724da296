//! Tables that the workers of an instance share.
//!
//! Lock order: `gate`, `instances`, `parts`, `electors`, `peers`, `led_parts`, `leader_hints`,
//! `pending_changes`, then the slots and sessions of servers. A worker that holds one of these
//! locks takes only later ones, and holds none across an await.

use crate::prelude::*;

/// Tables that the workers of an instance share, each behind a lock.
pub(crate) struct NodeTables {
    own_id: InstanceId,
    timing: TimingSettings,
    started_at: MonoTime,
    /// Configuration in force.
    pub(crate) gate: Mutex<RevisionGate>,
    /// Registered instances by name.
    pub(crate) instances: Mutex<IndexMap<String, InstanceRecord>>,
    /// Latest known record of each part.
    pub(crate) parts: Mutex<IndexMap<PartId, KnownPart>>,
    /// This instance's state in the election of each known part's leader.
    pub(crate) electors: Mutex<IndexMap<PartId, LeaderElector>>,
    /// Liveness of other instances.
    pub(crate) peers: Mutex<PeerLiveness>,
    /// Parts that this instance leads.
    pub(crate) led_parts: Mutex<IndexMap<PartId, LedPart>>,
    /// Members to try as leader after the recorded leader of a part did not answer.
    pub(crate) leader_hints: Mutex<IndexMap<PartId, LeaderHint>>,
    /// Requested changes of slices that are not in a written record yet.
    pub(crate) pending_changes: Mutex<IndexMap<PartId, Vec<SliceChange>>>,
}

/// What this instance knows of a part's records.
#[derive(Clone, Debug)]
pub(crate) struct KnownPart {
    /// Latest known record.
    pub(crate) record: PartRecord,
    /// Last record of the previous term, if this instance knows it.
    pub(crate) former_record: Option<PartRecord>,
}

/// Members that led a part, or stood by, before its current leader.
#[derive(Clone, Debug)]
pub(crate) enum FormerLeadership {
    /// The part had no leader before.
    None,
    /// This instance does not know the record of the previous leader.
    Unknown,
    /// Members of this record.
    Known(PartRecord),
}

/// Counts a request for a key of a led part as running until the guard is dropped.
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

/// Address of the leader of a part.
#[derive(Clone, Debug)]
pub(crate) struct LeaderAddress {
    /// Name and incarnation of the leader.
    pub(crate) id: InstanceId,
    /// Address of its listener for other instances.
    pub(crate) address: SocketAddr,
    /// Term of the leader.
    pub(crate) term: u64,
}

impl NodeTables {
    /// Returns the empty tables of the incarnation `own_id`, which starts at `started_at`.
    pub(crate) fn new(own_id: &InstanceId, timing: TimingSettings, started_at: MonoTime) -> Self {
        Self {
            own_id: own_id.clone(),
            timing,
            started_at,
            gate: Mutex::default(),
            instances: Mutex::default(),
            parts: Mutex::default(),
            electors: Mutex::default(),
            peers: Mutex::default(),
            led_parts: Mutex::default(),
            leader_hints: Mutex::default(),
            pending_changes: Mutex::default(),
        }
    }

    /// Returns the part that `hash` belongs to.
    pub(crate) fn part_of(&self, service: &ServiceName, hash: KeyHash) -> Option<PartId> {
        let gate = self.gate.lock().unwrap();
        let parts = gate.head()?.services.get(service)?.parts;
        Some(PartId::new(service.clone(), hash.part_index(parts)))
    }

    /// Returns the assumed leader of the part that `hash` belongs to.
    ///
    /// If that instance is not registered, returns nothing; the next call tries the next member.
    pub(crate) fn leader_of(&self, service: &ServiceName, hash: KeyHash) -> Option<LeaderAddress> {
        let id = self.part_of(service, hash)?;
        let instances = self.instances.lock().unwrap();
        let known = self.parts.lock().unwrap();
        let record = &known.get(&id)?.record;
        let hints = self.leader_hints.lock().unwrap();
        let leader = LeaderHint::leader(hints.get(&id), record);
        let registered = instances.get(&leader.name);
        let Some(registered) = registered.filter(|registered| registered.id == leader) else {
            drop(hints);
            self.try_next_member(record, &leader);
            return None;
        };
        Some(LeaderAddress {
            id: leader,
            address: registered.peer_address,
            term: record.term,
        })
    }

    /// Records that `wrong_leader` did not lead the part that `hash` belongs to, so that the next
    /// member is tried.
    pub(crate) fn record_wrong_leader(
        &self,
        service: &ServiceName,
        hash: KeyHash,
        wrong_leader: &InstanceId,
    ) {
        let Some(id) = self.part_of(service, hash) else {
            return;
        };
        let known = self.parts.lock().unwrap();
        if let Some(known) = known.get(&id) {
            self.try_next_member(&known.record, wrong_leader);
        }
    }

    fn try_next_member(&self, record: &PartRecord, wrong_leader: &InstanceId) {
        let hint = LeaderHint::after_failure(record, wrong_leader);
        self.leader_hints
            .lock()
            .unwrap()
            .insert(record.id.clone(), hint);
    }

    /// Returns the request class `name` of a service.
    pub(crate) fn find_class(&self, service: &ServiceName, name: &str) -> Option<RequestClass> {
        let gate = self.gate.lock().unwrap();
        let classes = &gate.head()?.services.get(service)?.classes;
        classes.iter().find(|class| class.name == name).cloned()
    }

    /// Counts a request for a key of the led `part` as running until the returned guard is dropped.
    pub(crate) fn count_request(&self, part: &PartId, hash: KeyHash) -> SliceGuard<'_> {
        if let Some(part) = self.led_parts.lock().unwrap().get_mut(part) {
            part.request_started(hash);
        }
        SliceGuard {
            tables: self,
            part: part.clone(),
            hash,
        }
    }

    /// Returns the start of the slice of a led part that `hash` belongs to.
    pub(crate) fn slice_start(&self, part: &PartId, hash: KeyHash) -> Option<u64> {
        let led = self.led_parts.lock().unwrap();
        let entry = led.get(part)?.record.slice_of(hash)?;
        Some(entry.start)
    }

    /// Adds changes of a led part's slices to those that are to be written.
    pub(crate) fn request_changes(&self, part: &PartId, changes: Vec<SliceChange>) {
        let mut pending = self.pending_changes.lock().unwrap();
        pending.entry(part.clone()).or_default().extend(changes);
    }

    /// Adopts a record of a part unless the known one has the same or a later edition.
    pub(crate) fn learn_record(&self, record: PartRecord, now: MonoTime) {
        let mut parts = self.parts.lock().unwrap();
        let mut electors = self.electors.lock().unwrap();
        match electors.get_mut(&record.id) {
            Some(elector) => elector.learn_record(record.clone(), now),
            None => {
                let elector = LeaderElector::new(
                    &self.own_id,
                    record.clone(),
                    self.started_at,
                    now,
                    self.timing,
                );
                electors.insert(record.id.clone(), elector);
            }
        }
        let former_record = match parts.get(&record.id) {
            Some(known) if known.record.edition >= record.edition => return,
            Some(known) if known.record.term < record.term => Some(known.record.clone()),
            Some(known) => known.former_record.clone(),
            None => None,
        };
        let known = KnownPart {
            record,
            former_record,
        };
        parts.insert(known.record.id.clone(), known);
    }

    /// Returns the members that led `part` before the leader that has `authority`.
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
        match &known.former_record {
            Some(former) if former.term + 1 == authority.term => {
                FormerLeadership::Known(former.clone())
            }
            None if authority.term == 1 && known.record.term == 1 => FormerLeadership::None,
            _ => FormerLeadership::Unknown,
        }
    }

    /// Returns the leader and the standbys of `part`.
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

    /// Returns the address of the listener for other instances of the incarnation `id`.
    pub(crate) fn address_of(&self, id: &InstanceId) -> Option<SocketAddr> {
        let instances = self.instances.lock().unwrap();
        let record = instances.get(&id.name)?;
        (record.id == *id).then_some(record.peer_address)
    }
}
