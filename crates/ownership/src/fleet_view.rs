//! The view that one instance has of the other instances.

use crate::prelude::*;

/// Instances that can lead a part or stand by for it, and those that have ended.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Instances that answered recently and are not leaving; includes this one unless it is
    /// leaving.
    pub live: Vec<LiveInstance>,
    /// Incarnations whose registration was removed or replaced more than a lease ago.
    pub ended: Vec<InstanceId>,
    /// Whether a part may be handed over to its preferred leader now.
    pub may_hand_over: bool,
}

/// An instance that can lead a part or stand by for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveInstance {
    /// Name and incarnation.
    pub id: InstanceId,
    /// Data centre in which the instance runs.
    pub data_centre: String,
}

impl FleetView {
    /// Members of a part: its leader and standbys.
    pub const MEMBERS_PER_PART: usize = 3;

    /// Whether `id` is one of the live instances.
    pub fn is_live(&self, id: &InstanceId) -> bool {
        self.live.iter().any(|instance| instance.id == *id)
    }

    /// Whether the incarnation `id` has ended so long ago that its votes and orders have expired.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        self.ended.contains(id)
    }

    /// Live instance that ranks first for `part`.
    pub fn preferred_leader(&self, part: &PartId) -> Option<&InstanceId> {
        self.ranked(part).first().map(|instance| &instance.id)
    }

    /// Standbys for `leader`: the live ones of `current`, then others by rendezvous hashing, first
    /// from data centres without a member.
    pub fn choose_standbys(
        &self,
        part: &PartId,
        leader: &InstanceId,
        current: &[InstanceId],
    ) -> Vec<InstanceId> {
        let mut chosen: Vec<InstanceId> = current
            .iter()
            .filter(|id| *id != leader && self.is_live(id))
            .take(Self::MEMBERS_PER_PART - 1)
            .cloned()
            .collect();
        let mut candidates: Vec<&LiveInstance> = self.ranked(part);
        while chosen.len() < Self::MEMBERS_PER_PART - 1 {
            candidates.retain(|instance| instance.id != *leader && !chosen.contains(&instance.id));
            let centre_used = |instance: &LiveInstance| {
                chosen
                    .iter()
                    .chain([leader])
                    .any(|id| self.data_centre(id) == Some(&instance.data_centre))
            };
            let next = candidates.iter().find(|instance| !centre_used(instance));
            let Some(next) = next.or(candidates.first()) else {
                break;
            };
            chosen.push(next.id.clone());
        }
        chosen
    }

    fn data_centre(&self, id: &InstanceId) -> Option<&String> {
        let instance = self.live.iter().find(|instance| instance.id == *id)?;
        Some(&instance.data_centre)
    }

    /// Live instances in order of preference for `part`.
    fn ranked(&self, part: &PartId) -> Vec<&LiveInstance> {
        RendezvousRank::order(&part.to_string(), &self.live, |instance| &instance.id.name)
    }
}
