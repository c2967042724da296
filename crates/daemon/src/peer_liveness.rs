//! Liveness of other instances: when each last answered, and which incarnations have ended.

use crate::prelude::*;

/// Last answers of other instances, and the incarnations that have ended.
#[derive(Default)]
pub(crate) struct PeerLiveness {
    last_answers: IndexMap<InstanceId, MonoTime>,
    /// Ended incarnations, with the time at which their end was noticed.
    ended: IndexMap<InstanceId, MonoTime>,
    last_probed: usize,
}

impl PeerLiveness {
    /// Time without an answer after which an instance gets no new role.
    const ROLE_TIMEOUT: Duration = Duration::from_millis(500);
    /// Maximum number of ended incarnations that are kept.
    const MAX_ENDED: usize = 4_096;

    /// Records an answer of the incarnation `id`.
    pub(crate) fn record_answer(&mut self, id: InstanceId, now: MonoTime) {
        self.last_answers.insert(id, now);
    }

    /// Records that the registration of the incarnation `id` was removed or replaced.
    pub(crate) fn record_end(&mut self, id: InstanceId, now: MonoTime) {
        self.last_answers.swap_remove(&id);
        self.ended.entry(id).or_insert(now);
        if self.ended.len() > Self::MAX_ENDED {
            self.ended.shift_remove_index(0);
        }
    }

    /// Returns whether the incarnation `id` has answered recently.
    pub(crate) fn is_live(&self, id: &InstanceId, now: MonoTime) -> bool {
        let answered_at = self.last_answers.get(id);
        answered_at.is_some_and(|answered_at| now.since(*answered_at) < Self::ROLE_TIMEOUT)
    }

    /// Returns the live and ended instances as the incarnation `own_id` knows them.
    ///
    /// An ended incarnation is included once a lease that it may have held has expired.
    pub(crate) fn fleet_view(
        &self,
        own_id: &InstanceId,
        is_leaving: bool,
        instances: &IndexMap<String, InstanceRecord>,
        now: MonoTime,
        timing: &TimingSettings,
    ) -> FleetView {
        let takes_roles = |record: &&InstanceRecord| match record.id == *own_id {
            true => !is_leaving,
            false => !record.leaving && self.is_live(&record.id, now),
        };
        let lease_time = timing.lengthened_by_drift(timing.lease);
        FleetView {
            live: instances
                .values()
                .filter(takes_roles)
                .map(|record| LiveInstance {
                    id: record.id.clone(),
                    data_centre: record.data_centre.clone(),
                })
                .collect(),
            ended: self
                .ended
                .iter()
                .filter(|(_, since)| now.since(**since) > lease_time)
                .map(|(id, _)| id.clone())
                .collect(),
            may_hand_over: false,
        }
    }

    /// Returns the address of the next instance, in turn, that has not answered recently.
    pub(crate) fn next_probe(
        &mut self,
        own_id: &InstanceId,
        instances: &IndexMap<String, InstanceRecord>,
        now: MonoTime,
    ) -> Option<SocketAddr> {
        for _ in 0..instances.len() {
            self.last_probed = (self.last_probed + 1) % instances.len();
            let record = &instances[self.last_probed];
            let is_recent = self
                .last_answers
                .get(&record.id)
                .is_some_and(|answered_at| now.since(*answered_at) < Self::ROLE_TIMEOUT / 2);
            if record.id != *own_id && !is_recent {
                return Some(record.peer_address);
            }
        }
        None
    }
}
