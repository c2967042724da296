//! What the leader of a service's keys orders, and what each order waits for.
//!
//! A leader orders only while the store confirmed it lately. A range moves in this order: the
//! record says so, the holder gives it up (or can hold nothing any more), the new owner is granted
//! it, the record says that it is settled. Every step can be done again by the next leader.

use crate::{
    move_work::{MoveStage, MoveWork},
    prelude::*,
};

/// The leader's side of one service's keys, as one instance sees it.
#[derive(Debug)]
pub struct KeyLeader {
    pub(crate) me: InstanceIncarnation,
    pub(crate) timing: LeaderTiming,
    pub(crate) held: Option<HeldRecord>,
    pub(crate) confirmed_at: Option<MonoTime>,
    pub(crate) book: GrantLedger,
    pub(crate) renewed: IndexMap<RangeKey, MonoTime>,
    pub(crate) works: IndexMap<RangeKey, MoveWork>,
    pub(crate) dead: IndexMap<ServerIncarnation, ()>,
    pub(crate) succeeded: IndexMap<ServerIncarnation, ()>,
    /// Fences that a record sent to the store takes for lapsed, until a newer record is known.
    pub(crate) retired: IndexMap<u64, ()>,
}

/// First key and fence, which name a range for as long as it exists.
pub(crate) type RangeKey = (u16, u64);

/// A record as of a revision.
#[derive(Debug)]
pub(crate) struct HeldRecord {
    pub(crate) record: KeyRecord,
    pub(crate) revision: u64,
}

impl KeyLeader {
    /// Side of the instance `me`.
    pub fn new(me: InstanceIncarnation, timing: LeaderTiming) -> Self {
        Self {
            me,
            timing,
            held: None,
            confirmed_at: None,
            book: GrantLedger::new(timing.grant_duration),
            renewed: IndexMap::new(),
            works: IndexMap::new(),
            dead: IndexMap::new(),
            succeeded: IndexMap::new(),
            retired: IndexMap::new(),
        }
    }

    /// This instance's mark.
    pub fn own_incarnation(&self) -> &InstanceIncarnation {
        &self.me
    }

    /// Record and its revision.
    pub fn record(&self) -> Option<(&KeyRecord, u64)> {
        self.held.as_ref().map(|held| (&held.record, held.revision))
    }

    /// Takes a record in, unless a newer one is known; true when it was newer.
    pub fn adopt(&mut self, record: KeyRecord, revision: u64, now: MonoTime) -> bool {
        if self
            .held
            .as_ref()
            .is_some_and(|held| held.revision >= revision)
        {
            return false;
        }
        let before = self.held.replace(HeldRecord { record, revision });
        let was_leader = before
            .as_ref()
            .is_some_and(|held| held.record.leader == self.me);
        // Writes on the record before can't be done any more.
        self.retired.clear();
        let is_leader = self.is_leader();
        if is_leader && !was_leader {
            self.begin(now);
        }
        if is_leader {
            self.take_works(before.as_ref().map(|held| &held.record), now);
        } else {
            self.works.clear();
            self.renewed.clear();
        }
        true
    }

    /// Notes that `next` is about to be sent to the store. It may be written long after, so nothing
    /// is granted any more under fences that it takes for lapsed.
    pub fn begin_write(&mut self, next: &KeyRecord) {
        let Some(held) = &self.held else { return };
        for range in &next.ranges {
            let Some(old) = held.record.range_of(range.first) else {
                continue;
            };
            if old.fence != range.fence && !range.is_settled() && !range.is_leaving(&old.owner) {
                self.retired.insert(old.fence, ());
            }
        }
    }

    /// Whether nothing is granted any more under a range's fence.
    pub(crate) fn is_retired(&self, range: &KeyRange) -> bool {
        self.retired.contains_key(&range.fence)
    }

    /// Whether a write has to make sure that none before it is done any more.
    pub fn has_pending_write(&self) -> bool {
        !self.retired.is_empty()
    }

    /// Notes that the store, asked at `asked_at`, named this instance the leader.
    pub fn confirm_leadership(&mut self, asked_at: MonoTime) {
        self.confirmed_at = Some(self.confirmed_at.map_or(asked_at, |at| at.max(asked_at)));
    }

    /// Whether the record names this instance.
    pub fn is_leader(&self) -> bool {
        self.held
            .as_ref()
            .is_some_and(|held| held.record.leader == self.me)
    }

    /// Time since the store last confirmed this instance, the longest one if it never did.
    pub fn confirmation_age(&self, now: MonoTime) -> Duration {
        self.confirmed_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Whether this instance may order servers now.
    pub fn has_authority(&self, now: MonoTime) -> bool {
        self.is_leader() && self.confirmation_age(now) < self.timing.authority
    }

    /// Notes that no former leader can order any more.
    pub fn former_leaders_stopped(&mut self, now: MonoTime) {
        let until = now.after(self.book.max_validity());
        if until < self.book.former_until() {
            self.book.set_former_until(until);
            for work in self.works.values_mut() {
                work.free_at = work.free_at.min(until);
            }
        }
    }

    /// Time until which orders of former leaders may hold.
    pub fn former_grants_until(&self) -> MonoTime {
        self.book.former_until()
    }

    /// Notes that a life of a server has ended for certain.
    pub fn mark_dead(&mut self, mark: &ServerIncarnation, now: MonoTime) {
        if !note_end(&mut self.dead, mark) {
            return;
        }
        let Some(held) = &self.held else { return };
        for range in &held.record.ranges {
            let is_holder = matches!(&range.state, RangeState::Moving { previous: Some(holder) } if holder == mark);
            if let (true, Some(work)) = (is_holder, self.works.get_mut(&(range.first, range.fence)))
            {
                work.free_at = work.free_at.min(now);
            }
        }
    }

    /// Notes that a later life of the server answers in its place. An order that was on its way may
    /// have reached that one, so it is asked for a release like any holder.
    pub fn mark_replaced(&mut self, mark: &ServerIncarnation) {
        note_end(&mut self.succeeded, mark);
    }

    /// Whether a life of a server has ended for certain.
    pub fn is_dead(&self, mark: &ServerIncarnation) -> bool {
        self.dead.contains_key(mark)
    }

    /// Whether a life of a server has ended, and with it all renewals.
    pub fn has_ended(&self, mark: &ServerIncarnation) -> bool {
        self.is_dead(mark) || self.succeeded.contains_key(mark)
    }

    /// Whether a server can hold nothing any more under a fence.
    pub fn has_no_grant(&self, mark: &ServerIncarnation, fence: u64, now: MonoTime) -> bool {
        self.is_dead(mark) || now >= self.book.valid_until(fence)
    }

    /// Ranges whose owners are due a renewal.
    pub fn due_renewals(&self, now: MonoTime) -> Vec<KeyRange> {
        let Some(held) = &self.held else {
            return Vec::new();
        };
        if !self.has_authority(now) {
            return Vec::new();
        }
        held.record
            .ranges
            .iter()
            .filter(|range| {
                let key = (range.first, range.fence);
                let last = self.renewed.get(&key);
                self.is_held(range)
                    && !self.is_retired(range)
                    && !self.has_ended(&range.owner)
                    && last.is_none_or(|at| now.since(*at) >= self.timing.renewal_interval)
            })
            .cloned()
            .collect()
    }

    /// Books a renewal that is about to be sent; false when it must not be.
    pub fn begin_renewal(&mut self, range: &KeyRange, now: MonoTime) -> bool {
        let is_current = self.held.as_ref().is_some_and(|held| {
            held.record.ranges.iter().any(|known| {
                known.first == range.first
                    && known.last == range.last
                    && known.fence == range.fence
                    && known.owner == range.owner
                    && self.is_held(known)
            })
        });
        if !is_current || self.is_retired(range) || !self.has_authority(now) {
            return false;
        }
        self.book.record_sent(range.fence, now);
        self.renewed.insert((range.first, range.fence), now);
        true
    }

    /// Takes back a renewal that was booked at `at` and of which no byte left.
    pub fn cancel_renewal(&mut self, range: &KeyRange, at: MonoTime) {
        self.book.cancel_sent(range.fence, at);
    }

    /// Lets a renewal that failed be sent again `soon`.
    pub fn reschedule_renewal(&mut self, range: &KeyRange, now: MonoTime, soon: Duration) {
        let again = now.before(self.timing.renewal_interval.saturating_sub(soon));
        self.renewed.insert((range.first, range.fence), again);
    }

    /// Whether the owner holds the range, as far as this leader knows.
    fn is_held(&self, range: &KeyRange) -> bool {
        range.is_settled()
            || self
                .works
                .get(&(range.first, range.fence))
                .is_some_and(|work| work.stage == MoveStage::Granted)
    }

    /// Starts to lead: nothing is known of what former leaders sent.
    fn begin(&mut self, now: MonoTime) {
        let is_first = self.held.as_ref().is_some_and(|held| held.record.term == 1);
        let until = match is_first {
            true => MonoTime::default(),
            false => now
                .after(self.timing.former_authority)
                .after(self.book.max_validity()),
        };
        self.book.set_former_until(until);
        self.works.clear();
        self.renewed.clear();
    }
}

/// Remembers the end of a life; false when it was known.
fn note_end(ends: &mut IndexMap<ServerIncarnation, ()>, mark: &ServerIncarnation) -> bool {
    /// Ended lives remembered.
    const MAX_ENDS: usize = 512;
    let is_new = ends.insert(mark.clone(), ()).is_none();
    if ends.len() > MAX_ENDS {
        ends.shift_remove_index(0);
    }
    is_new
}
