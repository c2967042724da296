//! What an instance knows of the others.

use crate::prelude::*;

/// Instances by whether they can take a role.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Instances heard from lately that are not leaving, this one included unless it leaves.
    pub live: Vec<LiveInstance>,
    /// Runs that the platform's list has named as ended for longer than a lease.
    pub ended: Vec<InstanceId>,
    /// Whether a part may be handed to the instance that should lead it.
    pub may_hand_over: bool,
}

/// An instance that can take a role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveInstance {
    /// Identity.
    pub id: InstanceId,
    /// Data centre.
    pub data_centre: String,
}

impl FleetView {
    /// Members of a trio.
    pub const TRIO_SIZE: usize = 3;

    /// Whether `id` can take a role.
    pub fn is_live(&self, id: &InstanceId) -> bool {
        self.live.iter().any(|instance| instance.id == *id)
    }

    /// Whether the run `id` has surely ended and its orders have lapsed.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        self.ended.contains(id)
    }

    /// Instance that should lead `part`.
    pub fn preferred_leader(&self, part: &PartId) -> Option<&InstanceId> {
        self.ranked(part).first().map(|instance| &instance.id)
    }

    /// Standbys for `leader`: those of `kept` that are live, then others by rendezvous hashing, from
    /// data centres that have none yet first.
    pub fn choose_standbys(
        &self,
        part: &PartId,
        leader: &InstanceId,
        kept: &[InstanceId],
    ) -> Vec<InstanceId> {
        let mut chosen: Vec<InstanceId> = kept
            .iter()
            .filter(|id| *id != leader && self.is_live(id))
            .take(Self::TRIO_SIZE - 1)
            .cloned()
            .collect();
        let mut open: Vec<&LiveInstance> = self.ranked(part);
        while chosen.len() < Self::TRIO_SIZE - 1 {
            open.retain(|instance| instance.id != *leader && !chosen.contains(&instance.id));
            let used = |instance: &LiveInstance| {
                chosen
                    .iter()
                    .chain([leader])
                    .any(|id| self.data_centre(id) == Some(&instance.data_centre))
            };
            let next = open.iter().find(|instance| !used(instance));
            let Some(next) = next.or(open.first()) else {
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

    fn ranked(&self, part: &PartId) -> Vec<&LiveInstance> {
        RendezvousRank::order(&part.to_string(), &self.live, |instance| &instance.id.name)
    }
}
