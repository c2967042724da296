//! Decides which grants, renewals and releases the leader of a service's keys sends to servers.
//!
//! A leader sends orders only while its last confirmation by the store is recent. A range moves in
//! these steps: the record names the new owner; the holder releases the range, or its grant
//! expires; the new owner is granted the range; the record marks the move as settled. The next
//! leader can repeat any step.

use crate::{
    era_census::EraCensus,
    move_step::{HolderExpiry, MoveProgress, MoveStage},
    prelude::*,
};

/// One instance's view of a service's key record, and the grants it sends while it leads.
#[derive(Debug)]
pub struct KeyLeader {
    pub(crate) own_incarnation: InstanceIncarnation,
    pub(crate) timing: LeaderTiming,
    pub(crate) known: Option<KnownRecord>,
    pub(crate) confirmed_at: Option<MonoTime>,
    pub(crate) ledger: GrantLedger,
    pub(crate) renewed_at: IndexMap<RangeKey, MonoTime>,
    pub(crate) moves: IndexMap<RangeKey, MoveProgress>,
    pub(crate) dead_servers: IndexMap<ServerIncarnation, ()>,
    pub(crate) replaced_servers: IndexMap<ServerIncarnation, ()>,
    /// Fences whose grants a record in writing treats as expired; cleared when a newer one is read.
    pub(crate) retired_fences: IndexMap<u64, ()>,
    pub(crate) former: FormerLeaders,
    pub(crate) support: LeaderSupport,
    /// Era of the store that this instance knows, and what others have said since.
    pub(crate) era: u64,
    pub(crate) census: EraCensus,
    /// Restored copy that the store has in place of the known record, and when it was first read.
    pub(crate) stored_copy: Option<(StoreRevision, MonoTime)>,
}

/// First key and fence, which identify a range for as long as it exists.
pub(crate) type RangeKey = (u16, u64);

/// Record and its revision in the store.
#[derive(Debug)]
pub(crate) struct KnownRecord {
    pub(crate) record: KeyRecord,
    pub(crate) revision: StoreRevision,
}

impl KeyLeader {
    /// Creates the state of an instance that has not read a record yet.
    pub fn new(own_incarnation: InstanceIncarnation, timing: LeaderTiming) -> Self {
        Self {
            own_incarnation,
            timing,
            known: None,
            confirmed_at: None,
            ledger: GrantLedger::new(timing.grant_duration),
            renewed_at: IndexMap::new(),
            moves: IndexMap::new(),
            dead_servers: IndexMap::new(),
            replaced_servers: IndexMap::new(),
            retired_fences: IndexMap::new(),
            former: FormerLeaders::default(),
            support: LeaderSupport::default(),
            era: 0,
            census: EraCensus::default(),
            stored_copy: None,
        }
    }

    /// Name and incarnation of this instance.
    pub fn own_incarnation(&self) -> &InstanceIncarnation {
        &self.own_incarnation
    }

    /// Newest known record and its revision.
    pub fn record(&self) -> Option<(&KeyRecord, StoreRevision)> {
        self.known
            .as_ref()
            .map(|known| (&known.record, known.revision))
    }

    /// Adopts a record if it is newer than the known one; returns whether it was. One of an earlier era
    /// than the store's is not, and a restored copy only if no other record is known.
    pub fn adopt(&mut self, record: KeyRecord, revision: StoreRevision, now: MonoTime) -> bool {
        self.learn_era(revision.era);
        let known = self.known.as_ref().map(|known| known.revision);
        let is_earlier = revision.era < self.era;
        if known >= Some(revision) || is_earlier && record.leader == self.own_incarnation {
            return false;
        }
        if known.is_some() && (is_earlier || record.is_restored_copy(revision, known)) {
            self.record_restored_copy(revision, now);
            return false;
        }
        self.stored_copy = None;
        let previous = self.known.replace(KnownRecord { record, revision });
        let was_leader = previous
            .as_ref()
            .is_some_and(|known| known.record.leader == self.own_incarnation);
        // The store rejects writes that are based on an earlier record.
        self.retired_fences.clear();
        self.support.forget_writes();
        self.update_former_leaders(now);
        let is_leader = self.is_leader();
        if is_leader && !was_leader {
            self.begin_term(now);
        }
        if is_leader {
            self.update_moves(previous.as_ref().map(|known| &known.record), now);
        } else {
            self.moves.clear();
            self.renewed_at.clear();
        }
        true
    }

    /// Records that `next` is about to be sent to the store. The write may take effect much later,
    /// so from now on nothing is granted under the fences that `next` treats as expired.
    pub fn begin_write(&mut self, next: &KeyRecord) {
        let Some(known) = &self.known else { return };
        if next.supporters != known.record.supporters {
            self.support.begin_write(&next.supporters);
        }
        for range in &next.ranges {
            let Some(old) = known.record.range_of(range.first) else {
                continue;
            };
            if old.fence != range.fence && !range.is_settled() && !range.is_leaving(&old.owner) {
                self.retired_fences.insert(old.fence, ());
            }
        }
    }

    /// Whether a write in progress forbids grants under the range's fence.
    pub(crate) fn is_retired(&self, range: &KeyRange) -> bool {
        self.retired_fences.contains_key(&range.fence)
    }

    /// Whether an earlier write may still take effect, so that another write is needed to rule it
    /// out.
    pub fn has_pending_write(&self) -> bool {
        !self.retired_fences.is_empty()
    }

    /// Whether the record names this instance as the leader.
    pub fn is_leader(&self) -> bool {
        self.known
            .as_ref()
            .is_some_and(|known| known.record.leader == self.own_incarnation)
    }

    /// Whether this instance may send orders to servers now.
    pub fn has_authority(&self, now: MonoTime) -> bool {
        let Some(known) = self.known.as_ref().filter(|_| self.is_leader()) else {
            return false;
        };
        let age = self.confirmation_age(now);
        let since = now.before(self.timing.support_validity);
        let is_supported = || self.support.suffices(&known.record.supporters, since);
        age < self.timing.authority && (age < self.timing.support_validity || is_supported())
    }

    /// Records that this incarnation of a server has certainly ended.
    pub fn mark_dead(&mut self, server: &ServerIncarnation) {
        if server.is_unknown() || !remember_end(&mut self.dead_servers, server) {
            return;
        }
        let Some(known) = &self.known else { return };
        for range in &known.record.ranges {
            let is_holder = matches!(&range.state, RangeState::Moving { previous: Some(holder) } if holder == server);
            if let (true, Some(progress)) =
                (is_holder, self.moves.get_mut(&(range.first, range.fence)))
            {
                progress.holder_expiry = HolderExpiry::Ended;
            }
        }
    }

    /// Records that a later incarnation of the server answers in its place. An order on its way may
    /// have reached the later one, which is therefore asked for a release like any other holder.
    pub fn mark_replaced(&mut self, server: &ServerIncarnation) {
        remember_end(&mut self.replaced_servers, server);
    }

    /// Whether this incarnation of a server has certainly ended, with no later one at its address.
    pub fn is_dead(&self, server: &ServerIncarnation) -> bool {
        self.dead_servers.contains_key(server)
    }

    /// Whether this incarnation of a server has ended, so that it needs no more renewals.
    pub fn has_ended(&self, server: &ServerIncarnation) -> bool {
        self.is_dead(server) || self.replaced_servers.contains_key(server)
    }

    /// Whether a server cannot hold keys under a fence any more: it is dead, or all grants under
    /// the fence have expired.
    pub fn has_no_grant(&self, server: &ServerIncarnation, fence: u64, now: MonoTime) -> bool {
        self.is_dead(server) || now >= self.ledger.valid_until(fence)
    }

    /// Ranges whose grants are due for renewal.
    pub fn due_renewals(&self, now: MonoTime) -> Vec<KeyRange> {
        let Some(known) = &self.known else {
            return Vec::new();
        };
        if !self.has_authority(now) {
            return Vec::new();
        }
        known
            .record
            .ranges
            .iter()
            .filter(|range| {
                let key = (range.first, range.fence);
                let last = self.renewed_at.get(&key);
                self.is_granted(range)
                    && !self.is_retired(range)
                    && !self.has_ended(&range.owner)
                    && last.is_none_or(|at| now.since(*at) >= self.timing.renewal_interval)
            })
            .cloned()
            .collect()
    }

    /// Records that a renewal is about to be sent; returns false if it must not be sent.
    pub fn begin_renewal(&mut self, range: &KeyRange, now: MonoTime) -> bool {
        let is_current = self.known.as_ref().is_some_and(|known| {
            known.record.ranges.iter().any(|known_range| {
                known_range.first == range.first
                    && known_range.last == range.last
                    && known_range.fence == range.fence
                    && known_range.owner == range.owner
                    && self.is_granted(known_range)
            })
        });
        if !is_current || self.is_retired(range) || !self.has_authority(now) {
            return false;
        }
        self.ledger.record_sent(range.fence, now);
        self.renewed_at.insert((range.first, range.fence), now);
        true
    }

    /// Undoes `begin_renewal` of time `at` for a renewal of which no byte was sent.
    pub fn cancel_renewal(&mut self, range: &KeyRange, at: MonoTime) {
        self.ledger.cancel_sent(range.fence, at);
    }

    /// Makes a failed renewal due again after `delay`.
    pub fn reschedule_renewal(&mut self, range: &KeyRange, now: MonoTime, delay: Duration) {
        let renewed_at = now.before(self.timing.renewal_interval.saturating_sub(delay));
        self.renewed_at
            .insert((range.first, range.fence), renewed_at);
    }

    /// Whether this leader knows that the owner has been granted the range.
    fn is_granted(&self, range: &KeyRange) -> bool {
        range.is_settled()
            || self
                .moves
                .get(&(range.first, range.fence))
                .is_some_and(|progress| progress.stage == MoveStage::Granted)
    }

    /// Starts a term as leader.
    fn begin_term(&mut self, now: MonoTime) {
        self.moves.clear();
        self.renewed_at.clear();
        self.support = LeaderSupport::default();
        let own_name = self.own_incarnation.instance.clone();
        self.record_follower(&own_name, now);
    }
}

/// Records that an incarnation of a server has ended; returns false if this was known.
fn remember_end(ended: &mut IndexMap<ServerIncarnation, ()>, server: &ServerIncarnation) -> bool {
    /// Number of ended incarnations that are remembered.
    const MAX_ENDED: usize = 512;
    let is_new = ended.insert(server.clone(), ()).is_none();
    if ended.len() > MAX_ENDED {
        ended.shift_remove_index(0);
    }
    is_new
}
