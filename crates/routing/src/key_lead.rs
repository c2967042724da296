//! What the leader of a service's keys orders, and what each order waits for.
//!
//! A leader orders only while the store confirmed it lately. A range moves in this order: the
//! record says so, the holder gives it up (or can hold nothing any more), the new owner is granted
//! it, the record says that it is settled. Every step can be done again by the next leader.

use crate::prelude::*;

/// Spans of a leader's work.
#[derive(Clone, Copy, Debug)]
pub struct LeadTiming {
    /// Time for which a server holds keys after a grant.
    pub hold: Duration,
    /// Time between renewals of a grant.
    pub renew_every: Duration,
    /// Longest time that a leader orders after the store confirmed it.
    pub authority: Duration,
    /// Longest time that a former leader is taken to order after its last confirmation; at least
    /// the authority of every leader.
    pub inherited_authority: Duration,
    /// Time between tries of a release that was not answered.
    pub release_again: Duration,
}

/// The leader's side of one service's keys, as one instance sees it.
#[derive(Debug)]
pub struct KeyLead {
    me: LeaderMark,
    timing: LeadTiming,
    held: Option<HeldRecord>,
    confirmed_at: Option<MonoTime>,
    book: OrderBook,
    renewed: IndexMap<RangeKey, MonoTime>,
    works: IndexMap<RangeKey, MoveWork>,
    dead: IndexMap<ServerMark, ()>,
}

/// First key and fence, which name a range for as long as it exists.
type RangeKey = (u16, u64);

#[derive(Debug)]
struct HeldRecord {
    record: KeyRecord,
    revision: u64,
}

/// How far a range on its way has come.
#[derive(Clone, Debug)]
struct MoveWork {
    stage: MoveStage,
    /// When the holder can hold nothing any more, released or not.
    free_at: MonoTime,
    handover: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MoveStage {
    ToRelease { not_before: MonoTime },
    Releasing,
    ToGrant { not_before: MonoTime },
    Granting,
    Granted,
}

/// One order that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveStep {
    /// Ask `holder` to give the range up under its new fence.
    Release {
        /// Range on its way.
        range: KeyRange,
        /// Server that holds it.
        holder: ServerMark,
    },
    /// Grant the range to its owner.
    Grant {
        /// Range on its way.
        range: KeyRange,
        /// What the holder handed over.
        handover: Option<String>,
    },
}

impl KeyLead {
    /// Side of the instance `me`.
    pub fn new(me: LeaderMark, timing: LeadTiming) -> Self {
        Self {
            me,
            timing,
            held: None,
            confirmed_at: None,
            book: OrderBook::new(timing.hold),
            renewed: IndexMap::new(),
            works: IndexMap::new(),
            dead: IndexMap::new(),
        }
    }

    /// This instance's mark.
    pub fn me(&self) -> &LeaderMark {
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
        let is_leader = self.leads();
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

    /// Notes that the store, asked at `asked_at`, named this instance the leader.
    pub fn confirm(&mut self, asked_at: MonoTime) {
        self.confirmed_at = Some(self.confirmed_at.map_or(asked_at, |at| at.max(asked_at)));
    }

    /// Whether the record names this instance.
    pub fn leads(&self) -> bool {
        self.held
            .as_ref()
            .is_some_and(|held| held.record.leader == self.me)
    }

    /// Time since the store last confirmed this instance, the longest one if it never did.
    pub fn confirmed_age(&self, now: MonoTime) -> Duration {
        self.confirmed_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Whether this instance may order servers now.
    pub fn may_order(&self, now: MonoTime) -> bool {
        self.leads() && self.confirmed_age(now) < self.timing.authority
    }

    /// Notes that no former leader can order any more.
    pub fn former_stopped(&mut self, now: MonoTime) {
        let until = now.after(self.book.longest());
        if until < self.book.inherited() {
            self.book.inherit(until);
            for work in self.works.values_mut() {
                work.free_at = work.free_at.min(until);
            }
        }
    }

    /// Time until which orders of former leaders may hold.
    pub fn inherited_until(&self) -> MonoTime {
        self.book.inherited()
    }

    /// Notes that a life of a server has ended for certain.
    pub fn died(&mut self, mark: &ServerMark, now: MonoTime) {
        /// Ended lives remembered.
        const MAX_DEAD: usize = 512;
        if self.dead.insert(mark.clone(), ()).is_some() {
            return;
        }
        if self.dead.len() > MAX_DEAD {
            self.dead.shift_remove_index(0);
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

    /// Whether a life of a server has ended for certain.
    pub fn is_dead(&self, mark: &ServerMark) -> bool {
        self.dead.contains_key(mark)
    }

    /// Whether a server can hold nothing any more under a fence.
    pub fn is_free(&self, mark: &ServerMark, fence: u64, now: MonoTime) -> bool {
        self.is_dead(mark) || now >= self.book.until(fence)
    }

    /// Ranges whose owners are due a renewal.
    pub fn due_renewals(&self, now: MonoTime) -> Vec<KeyRange> {
        let Some(held) = &self.held else {
            return Vec::new();
        };
        if !self.may_order(now) {
            return Vec::new();
        }
        held.record
            .ranges
            .iter()
            .filter(|range| {
                let key = (range.first, range.fence);
                let last = self.renewed.get(&key);
                self.is_held(range)
                    && !self.is_dead(&range.owner)
                    && last.is_none_or(|at| now.since(*at) >= self.timing.renew_every)
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
        if !is_current || !self.may_order(now) {
            return false;
        }
        self.book.sent(range.fence, now);
        self.renewed.insert((range.first, range.fence), now);
        true
    }

    /// Takes back a renewal that was booked at `at` and of which no byte left.
    pub fn renewal_not_sent(&mut self, range: &KeyRange, at: MonoTime) {
        self.book.not_sent(range.fence, at);
    }

    /// Lets a renewal that failed be sent again `soon`.
    pub fn renewal_failed(&mut self, range: &KeyRange, now: MonoTime, soon: Duration) {
        let again = now.before(self.timing.renew_every.saturating_sub(soon));
        if let Some(at) = self.renewed.get_mut(&(range.first, range.fence)) {
            *at = again;
        }
    }

    /// Orders of moves that are due; each is given out once until its result is told.
    pub fn move_steps(&mut self, now: MonoTime) -> Vec<MoveStep> {
        if !self.may_order(now) {
            return Vec::new();
        }
        let Some(held) = &self.held else {
            return Vec::new();
        };
        let mut steps = Vec::new();
        for range in &held.record.ranges {
            let RangeState::Moving { previous } = &range.state else {
                continue;
            };
            let Some(work) = self.works.get_mut(&(range.first, range.fence)) else {
                continue;
            };
            if matches!(work.stage, MoveStage::ToRelease { .. }) && now >= work.free_at {
                work.stage = MoveStage::ToGrant { not_before: now };
            }
            match (work.stage, previous) {
                (MoveStage::ToRelease { not_before }, Some(holder)) if now >= not_before => {
                    work.stage = MoveStage::Releasing;
                    steps.push(MoveStep::Release {
                        range: range.clone(),
                        holder: holder.clone(),
                    });
                }
                (MoveStage::ToGrant { not_before }, _) if now >= not_before => {
                    work.stage = MoveStage::Granting;
                    self.book.sent(range.fence, now);
                    steps.push(MoveStep::Grant {
                        range: range.clone(),
                        handover: work.handover.clone(),
                    });
                }
                _ => {}
            }
        }
        steps
    }

    /// Notes what became of a release: what was handed over, or no answer.
    pub fn released(&mut self, range: &KeyRange, answer: Option<String>, now: MonoTime) {
        let again = now.after(self.timing.release_again);
        let Some(work) = self.works.get_mut(&(range.first, range.fence)) else {
            return;
        };
        work.stage = match answer {
            Some(handover) => {
                work.handover = (!handover.is_empty()).then_some(handover);
                MoveStage::ToGrant { not_before: now }
            }
            None => MoveStage::ToRelease { not_before: again },
        };
    }

    /// Notes what became of a grant that ended a move.
    pub fn granted(&mut self, range: &KeyRange, taken: bool, now: MonoTime) {
        let again = now.after(self.timing.release_again);
        let key = (range.first, range.fence);
        let Some(work) = self.works.get_mut(&key) else {
            return;
        };
        work.stage = match taken {
            true => MoveStage::Granted,
            false => MoveStage::ToGrant { not_before: again },
        };
        if taken {
            self.renewed.insert(key, now);
        }
    }

    /// Moves that have ended and are not written down, none when there are none.
    pub fn settled(&self) -> Option<RecordDelta> {
        let held = self.held.as_ref()?;
        let settles: Vec<(u16, u64)> = held
            .record
            .ranges
            .iter()
            .filter(|range| !range.is_settled())
            .map(|range| (range.first, range.fence))
            .filter(|key| {
                let work = self.works.get(key);
                work.is_some_and(|work| work.stage == MoveStage::Granted)
            })
            .collect();
        (!settles.is_empty()).then(|| RecordDelta {
            settles,
            ..RecordDelta::default()
        })
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
                .after(self.timing.inherited_authority)
                .after(self.book.longest()),
        };
        self.book.inherit(until);
        self.works.clear();
        self.renewed.clear();
    }

    /// When a holder can hold nothing of a range any more that was `old` in the record before.
    fn free_at(&self, holder: &ServerMark, old: Option<&KeyRange>, now: MonoTime) -> MonoTime {
        let unknown = now.after(self.book.longest());
        let own = match old {
            None => unknown,
            // Whoever owned it, settled or just granted, holds it by the grants under its fence.
            Some(old) if old.owner == *holder => self.book.until(old.fence),
            Some(old) => self
                .works
                .get(&(old.first, old.fence))
                .map_or(unknown, |work| work.free_at),
        };
        own.max(self.book.inherited())
    }

    /// Keeps the work of each range on its way and starts that of new ones.
    fn take_works(&mut self, before: Option<&KeyRecord>, now: MonoTime) {
        let Some(held) = &self.held else { return };
        let mut works = IndexMap::new();
        for range in &held.record.ranges {
            let RangeState::Moving { previous } = &range.state else {
                continue;
            };
            let key = (range.first, range.fence);
            if let Some(work) = self.works.get(&key) {
                works.insert(key, work.clone());
                continue;
            }
            let old = before.and_then(|record| record.range_of(range.first));
            let free_at = match previous {
                Some(holder) if !self.dead.contains_key(holder) => self.free_at(holder, old, now),
                _ => now,
            };
            let stage = match previous {
                Some(_) => MoveStage::ToRelease { not_before: now },
                None => MoveStage::ToGrant { not_before: now },
            };
            works.insert(
                key,
                MoveWork {
                    stage,
                    free_at,
                    handover: None,
                },
            );
        }
        self.works = works;
        let ranges = &held.record.ranges;
        self.renewed.retain(|(first, fence), _| {
            ranges
                .iter()
                .any(|range| range.first == *first && range.fence == *fence)
        });
        self.book
            .retain(|fence| ranges.iter().any(|range| range.fence == fence), now);
    }
}
