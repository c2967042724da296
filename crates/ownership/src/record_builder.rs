//! Construction of the next record of a part, with its leader and standbys.

use crate::prelude::*;

/// Builder of the record that follows another one.
#[derive(Clone, Debug)]
pub struct RecordBuilder {
    next: PartRecord,
    former_members: Vec<Vec<InstanceId>>,
}

impl RecordBuilder {
    /// Starts from `base`, which a leader has acted on; only the members of `base` have to agree.
    pub fn after_activated(base: &PartRecord) -> Self {
        Self {
            next: PartRecord {
                edition: base.edition + 1,
                former_members: Vec::new(),
                ..base.clone()
            },
            former_members: vec![base.members()],
        }
    }

    /// Starts from `base`, which may not have been acted on; its former members have to agree too.
    pub fn after_unactivated(base: &PartRecord) -> Self {
        let mut builder = Self::after_activated(base);
        builder
            .former_members
            .extend(base.former_members.iter().cloned());
        builder
    }

    /// Marks the ranges whose owner differs from that in `acting` as moving, and requires the
    /// agreement of the members of `acting`.
    pub fn superseding(mut self, acting: &PartRecord) -> Self {
        self.former_members.push(acting.members());
        for (range, entry) in acting.ranges() {
            let owner_differs = self
                .next
                .ranges()
                .any(|(other, now)| other.overlaps(&range) && now.owner != entry.owner);
            if owner_differs && !self.next.moving.contains(&range) {
                self.next.moving.push(range);
            }
        }
        self
    }

    /// Sets the leader and starts a new term.
    pub fn leader(mut self, leader: &InstanceId) -> Self {
        self.next.term += 1;
        self.next.leader = leader.clone();
        self
    }

    /// Sets the standbys.
    pub fn standbys(mut self, standbys: Vec<InstanceId>) -> Self {
        self.next.standbys = standbys;
        self
    }

    /// Returns the record. Its `write_id` is still that of the base; the writer sets a new one.
    pub fn build(mut self) -> PartRecord {
        let same_members = |left: &[InstanceId], right: &[InstanceId]| {
            left.len() == right.len() && left.iter().all(|member| right.contains(member))
        };
        let members = self.next.members();
        self.former_members.dedup();
        self.former_members
            .retain(|former| !same_members(former, &members));
        self.next.former_members = self.former_members;
        self.next
    }
}
