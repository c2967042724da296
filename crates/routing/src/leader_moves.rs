//! The leader's moves: what is due, and what became of each order.

use crate::{
    move_work::{MoveStage, MoveWork},
    prelude::*,
};

impl KeyLeader {
    /// Orders of moves that are due; each is given out once until its result is told.
    pub fn due_move_steps(&mut self, now: MonoTime) -> Vec<MoveStep> {
        if !self.has_authority(now) {
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
            // A later life of the owner needs a fence of its own.
            let owner_has_ended = self.has_ended(&range.owner);
            let is_retired = self.is_retired(range);
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
                (MoveStage::ToGrant { not_before }, _)
                    if now >= not_before && !owner_has_ended && !is_retired =>
                {
                    work.stage = MoveStage::Granting;
                    self.book.record_sent(range.fence, now);
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
    pub fn finish_release(&mut self, range: &KeyRange, answer: Option<String>, now: MonoTime) {
        let again = now.after(self.timing.retry_delay);
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

    /// Books a moved range's grant that is about to be sent; false when it must not be.
    pub fn begin_grant(&mut self, range: &KeyRange, now: MonoTime) -> bool {
        let work = self.works.get(&(range.first, range.fence));
        let is_due = work.is_some_and(|work| work.stage == MoveStage::Granting);
        if !is_due
            || self.is_retired(range)
            || !self.has_authority(now)
            || self.has_ended(&range.owner)
        {
            return false;
        }
        self.book.record_sent(range.fence, now);
        true
    }

    /// Notes what became of a grant that ended a move.
    pub fn finish_grant(&mut self, range: &KeyRange, taken: bool, now: MonoTime) {
        let again = now.after(self.timing.retry_delay);
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
    pub fn settled_moves(&self) -> Option<RecordDelta> {
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

    /// When a holder can hold nothing of a range any more that was `old` in the record before.
    fn free_at(
        &self,
        holder: &ServerIncarnation,
        old: Option<&KeyRange>,
        now: MonoTime,
    ) -> MonoTime {
        let unknown = now.after(self.book.max_validity());
        let before_move = |old: &KeyRange| {
            let work = self.works.get(&(old.first, old.fence));
            work.map_or(unknown, |work| work.free_at)
        };
        let own = match old {
            None => unknown,
            // A range on its way back to its holder, which may hold it by the grants from before.
            Some(old) if old.owner == *holder && old.is_leaving(holder) => {
                self.book.valid_until(old.fence).max(before_move(old))
            }
            // Whoever owned it, settled or just granted, holds it by the grants under its fence.
            Some(old) if old.owner == *holder => self.book.valid_until(old.fence),
            Some(old) => before_move(old),
        };
        own.max(self.book.former_until())
    }

    /// Keeps the work of each range on its way and starts that of new ones.
    pub(crate) fn take_works(&mut self, before: Option<&KeyRecord>, now: MonoTime) {
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
        for old in before.iter().flat_map(|record| &record.ranges) {
            // A merged range is held by the grants of those that it was made of.
            let current = held.record.range_of(old.first);
            let is_merged = |range: &&KeyRange| range.is_settled() && range.fence != old.fence;
            if let Some(merged) = current.filter(is_merged) {
                self.book.carry_over(merged.fence, old.fence);
            }
        }
        self.renewed.retain(|(first, fence), _| {
            ranges
                .iter()
                .any(|range| range.first == *first && range.fence == *fence)
        });
        self.book
            .retain(|fence| ranges.iter().any(|range| range.fence == fence), now);
    }
}
