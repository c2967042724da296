//! The next record of a part: who leads it and who stands by.

use crate::prelude::*;

/// Builds the record that follows another.
#[derive(Clone, Debug)]
pub struct RecordPlan {
    next: PartRecord,
    former: Vec<Vec<InstanceId>>,
}

impl RecordPlan {
    /// Follows `base`, which has been acted on.
    pub fn after(base: &PartRecord) -> Self {
        Self {
            next: PartRecord {
                edition: base.edition + 1,
                former_members: Vec::new(),
                ..base.clone()
            },
            former: vec![base.members()],
        }
    }

    /// Follows `base`, which may not have been acted on.
    pub fn after_unactivated(base: &PartRecord) -> Self {
        let mut plan = Self::after(base);
        plan.former.extend(base.former_members.iter().cloned());
        plan
    }

    /// Marks the ranges whose owner differs from that in `acting`, and lets its trio agree.
    pub fn differing_from(mut self, acting: &PartRecord) -> Self {
        self.former.push(acting.members());
        for (range, entry) in acting.ranges() {
            let differs = self
                .next
                .ranges()
                .any(|(other, now)| other.overlaps(&range) && now.owner != entry.owner);
            if differs && !self.next.moving.contains(&range) {
                self.next.moving.push(range);
            }
        }
        self
    }

    /// Names a new leader in a new term.
    pub fn led_by(mut self, leader: &InstanceId) -> Self {
        self.next.term += 1;
        self.next.leader = leader.clone();
        self
    }

    /// Names the standbys.
    pub fn standbys(mut self, standbys: Vec<InstanceId>) -> Self {
        self.next.standbys = standbys;
        self
    }

    /// The record, still without the identity of its write.
    pub fn record(mut self) -> PartRecord {
        let same = |left: &[InstanceId], right: &[InstanceId]| {
            left.len() == right.len() && left.iter().all(|member| right.contains(member))
        };
        let trio = self.next.members();
        self.former.dedup();
        self.former.retain(|former| !same(former, &trio));
        self.next.former_members = self.former;
        self.next
    }
}
