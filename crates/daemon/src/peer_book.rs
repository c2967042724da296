//! Which instances answer, and which runs have ended by the platform's list.

use crate::prelude::*;

/// Signs of life of other instances.
#[derive(Default)]
pub(crate) struct PeerBook {
    heard: IndexMap<InstanceId, MonoTime>,
    gone: IndexMap<InstanceId, MonoTime>,
    last_probed: usize,
}

impl PeerBook {
    /// Silence after which an instance gets no new role.
    const ROLE_SILENCE: Duration = Duration::from_millis(500);
    /// Ended runs that are remembered.
    const MAX_GONE: usize = 4_096;

    /// Notes an answer of a run.
    pub(crate) fn heard(&mut self, id: InstanceId, now: MonoTime) {
        self.heard.insert(id, now);
    }

    /// Notes that the platform's list no longer names a run.
    pub(crate) fn ended(&mut self, id: InstanceId, now: MonoTime) {
        self.heard.swap_remove(&id);
        self.gone.entry(id).or_insert(now);
        if self.gone.len() > Self::MAX_GONE {
            self.gone.shift_remove_index(0);
        }
    }

    /// Whether a run answered lately.
    pub(crate) fn is_live(&self, id: &InstanceId, now: MonoTime) -> bool {
        let heard = self.heard.get(id);
        heard.is_some_and(|heard| now.since(*heard) < Self::ROLE_SILENCE)
    }

    /// View for decisions of the run `me`.
    pub(crate) fn view(
        &self,
        me: &InstanceId,
        leaving: bool,
        instances: &IndexMap<String, InstanceRecord>,
        now: MonoTime,
        timing: &TimingSettings,
    ) -> FleetView {
        let takes_roles = |record: &&InstanceRecord| match record.id == *me {
            true => !leaving,
            false => !record.leaving && self.is_live(&record.id, now),
        };
        let wait = timing.lengthened_by_drift(timing.lease);
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
                .gone
                .iter()
                .filter(|(_, since)| now.since(**since) > wait)
                .map(|(id, _)| id.clone())
                .collect(),
            may_hand_over: false,
        }
    }

    /// Next silent instance to try, in turn.
    pub(crate) fn next_probe(
        &mut self,
        me: &InstanceId,
        instances: &IndexMap<String, InstanceRecord>,
        now: MonoTime,
    ) -> Option<SocketAddr> {
        for _ in 0..instances.len() {
            self.last_probed = (self.last_probed + 1) % instances.len();
            let record = &instances[self.last_probed];
            let fresh = self
                .heard
                .get(&record.id)
                .is_some_and(|heard| now.since(*heard) < Self::ROLE_SILENCE / 2);
            if record.id != *me && !fresh {
                return Some(record.peer_address);
            }
        }
        None
    }
}
