//! The leader's moves of key ranges: which orders are due, and the effect of their results.

use crate::{
    move_step::{HolderExpiry, MoveProgress, MoveStage},
    prelude::*,
};

impl KeyLeader {
    /// Returns the releases and grants that are due. Each is returned once, and again only after
    /// its result has been reported as a failure.
    pub fn due_move_steps(&mut self, now: MonoTime) -> Vec<MoveStep> {
        if !self.has_authority(now) {
            return Vec::new();
        }
        let Some(known) = &self.known else {
            return Vec::new();
        };
        let former_until = self.ledger.former_until();
        let mut steps = Vec::new();
        for range in &known.record.ranges {
            let RangeState::Moving { previous } = &range.state else {
                continue;
            };
            // A later incarnation of the owner must be granted the range under a new fence.
            let owner_has_ended = self.has_ended(&range.owner);
            let is_retired = self.is_retired(range);
            let Some(progress) = self.moves.get_mut(&(range.first, range.fence)) else {
                continue;
            };
            let has_expired = match progress.holder_expiry {
                HolderExpiry::Ended => true,
                HolderExpiry::GrantsExpired(own_until) => now >= own_until.max(former_until),
            };
            if matches!(progress.stage, MoveStage::ToRelease { .. }) && has_expired {
                progress.stage = MoveStage::ToGrant { not_before: now };
            }
            match (progress.stage, previous) {
                (MoveStage::ToRelease { not_before }, Some(holder))
                    if now >= not_before && !holder.is_unknown() =>
                {
                    progress.stage = MoveStage::Releasing;
                    steps.push(MoveStep::Release {
                        range: range.clone(),
                        holder: holder.clone(),
                    });
                }
                (MoveStage::ToGrant { not_before }, _)
                    if now >= not_before && !owner_has_ended && !is_retired =>
                {
                    progress.stage = MoveStage::Granting;
                    steps.push(MoveStep::Grant {
                        range: range.clone(),
                        handover: progress.handover.clone(),
                    });
                }
                _ => {}
            }
        }
        steps
    }

    /// Records the result of a release: the handover data, or `None` without a valid answer.
    pub fn finish_release(&mut self, range: &KeyRange, answer: Option<String>, now: MonoTime) {
        let retry_at = now.after(self.timing.retry_delay);
        let Some(progress) = self.moves.get_mut(&(range.first, range.fence)) else {
            return;
        };
        progress.stage = match answer {
            Some(handover) => {
                progress.handover = Some(handover);
                MoveStage::ToGrant { not_before: now }
            }
            None => MoveStage::ToRelease {
                not_before: retry_at,
            },
        };
    }

    /// Records that the grant that completes a move is about to be sent; returns false if it must
    /// not be sent.
    pub fn begin_grant(&mut self, range: &KeyRange, now: MonoTime) -> bool {
        let progress = self.moves.get(&(range.first, range.fence));
        let is_due = progress.is_some_and(|progress| progress.stage == MoveStage::Granting);
        if !is_due
            || self.is_retired(range)
            || !self.has_authority(now)
            || self.has_ended(&range.owner)
        {
            return false;
        }
        self.ledger.record_sent(range.fence, now);
        true
    }

    /// Records whether the owner accepted the grant that completes a move.
    pub fn finish_grant(&mut self, range: &KeyRange, accepted: bool, now: MonoTime) {
        let retry_at = now.after(self.timing.retry_delay);
        let key = (range.first, range.fence);
        let Some(progress) = self.moves.get_mut(&key) else {
            return;
        };
        progress.stage = match accepted {
            true => MoveStage::Granted,
            false => MoveStage::ToGrant {
                not_before: retry_at,
            },
        };
        if accepted {
            self.renewed_at.insert(key, now);
        }
    }

    /// Returns the completed moves that the record does not show yet, `None` if there are none.
    pub fn settled_moves(&self) -> Option<RecordDelta> {
        let known = self.known.as_ref()?;
        let settles: Vec<(u16, u64)> = known
            .record
            .ranges
            .iter()
            .filter(|range| !range.is_settled())
            .map(|range| (range.first, range.fence))
            .filter(|key| {
                let progress = self.moves.get(key);
                progress.is_some_and(|progress| progress.stage == MoveStage::Granted)
            })
            .collect();
        (!settles.is_empty()).then(|| RecordDelta {
            settles,
            ..RecordDelta::default()
        })
    }

    /// Time from which all grants of this leader to `holder` have expired; `old` is the range in the
    /// previous record.
    fn own_grants_until(
        &self,
        holder: &ServerIncarnation,
        old: Option<&KeyRange>,
        now: MonoTime,
    ) -> MonoTime {
        let worst_case = now.after(self.ledger.max_validity());
        let expiry_before_move = |old: &KeyRange| {
            let progress = self.moves.get(&(old.first, old.fence));
            match progress.map(|progress| progress.holder_expiry) {
                Some(HolderExpiry::GrantsExpired(until)) => until,
                Some(HolderExpiry::Ended) => now,
                None => worst_case,
            }
        };
        match old {
            None => worst_case,
            // Any server may hold the range, also its new owner.
            Some(old) if holder.is_unknown() => match old.is_leaving(holder) {
                true => self
                    .ledger
                    .own_valid_until(old.fence)
                    .max(expiry_before_move(old)),
                false => worst_case,
            },
            // The range was moving back to its holder, which may still hold it by its earlier
            // grants.
            Some(old) if old.owner == *holder && old.is_leaving(holder) => self
                .ledger
                .own_valid_until(old.fence)
                .max(expiry_before_move(old)),
            // The previous owner, settled or just granted, holds the range by grants under its
            // fence.
            Some(old) if old.owner == *holder => self.ledger.own_valid_until(old.fence),
            Some(old) => expiry_before_move(old),
        }
    }

    /// Keeps the progress of moves that continue in the new record and starts new moves.
    pub(crate) fn update_moves(&mut self, previous_record: Option<&KeyRecord>, now: MonoTime) {
        let Some(known) = &self.known else { return };
        let mut moves = IndexMap::new();
        for range in &known.record.ranges {
            let RangeState::Moving { previous } = &range.state else {
                continue;
            };
            let key = (range.first, range.fence);
            if let Some(progress) = self.moves.get(&key) {
                moves.insert(key, progress.clone());
                continue;
            }
            let old = previous_record.and_then(|record| record.range_of(range.first));
            if let Some(progress) = old
                .filter(|old| old.is_raised_to(range))
                .and_then(|old| self.moves.get(&(old.first, old.fence)))
            {
                moves.insert(key, progress.under_new_fence(now));
                continue;
            }
            let holder_expiry = match previous {
                Some(holder) if !self.dead_servers.contains_key(holder) => {
                    HolderExpiry::GrantsExpired(self.own_grants_until(holder, old, now))
                }
                _ => HolderExpiry::Ended,
            };
            let stage = match previous {
                Some(_) => MoveStage::ToRelease { not_before: now },
                None => MoveStage::ToGrant { not_before: now },
            };
            moves.insert(
                key,
                MoveProgress {
                    stage,
                    holder_expiry,
                    handover: None,
                },
            );
        }
        self.moves = moves;
        let ranges = &known.record.ranges;
        // The owner holds a merged range by the grants of the ranges before, and so it does a raised one,
        // or the rest of it.
        for old in previous_record.iter().flat_map(|record| &record.ranges) {
            let current = known.record.range_of(old.first);
            let is_merged = |range: &&KeyRange| range.is_settled() && range.fence != old.fence;
            if let Some(merged) = current.filter(is_merged) {
                self.ledger.carry_over(merged.fence, old.fence);
            }
        }
        for range in ranges {
            let old = previous_record.and_then(|record| record.range_of(range.first));
            let is_kept = |old: &&KeyRange| old.owner == range.owner && old.fence < range.fence;
            if let Some(old) = old.filter(is_kept) {
                self.ledger.carry_over(range.fence, old.fence);
            }
        }
        self.renewed_at.retain(|(first, fence), _| {
            ranges
                .iter()
                .any(|range| range.first == *first && range.fence == *fence)
        });
        self.ledger
            .retain(|fence| ranges.iter().any(|range| range.fence == fence), now);
    }
}
