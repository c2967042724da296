//! What the leader of a service's keys knows of its predecessors and of those that follow it.

use crate::prelude::*;

impl KeyLeader {
    /// Records which term of the leader another instance knows. `heard_at` is when the last heartbeat
    /// that it had received from the leader of that term was sent, on that leader's clock.
    pub fn record_peer_term(
        &mut self,
        peer: &InstanceIncarnation,
        term: u64,
        heard_at: Option<MonoTime>,
        now: MonoTime,
    ) {
        let Some(known) = self.known.as_ref().filter(|_| self.is_leader()) else {
            return;
        };
        if let Some(heard_at) = heard_at.filter(|at| term == known.record.term && *at <= now) {
            self.support.record(peer, heard_at);
        }
        if term >= known.record.term {
            self.record_follower(&peer.instance, now);
        }
    }

    /// Instances that have taken this one for the leader since `since`.
    pub fn supporters_since(&self, since: MonoTime) -> Vec<&InstanceIncarnation> {
        self.support.recorded_since(since)
    }

    pub(crate) fn record_follower(&mut self, instance: &str, now: MonoTime) {
        let end = now.after(self.timing.former_support);
        self.former.record_follower(instance, end);
        self.update_former_validity();
    }

    /// Former leaders that may still send orders.
    pub fn active_former_leaders(&self, now: MonoTime) -> Vec<InstanceIncarnation> {
        self.former.active(now)
    }

    /// Records that a former leader can send no orders from `now` on.
    pub fn former_leader_stopped(&mut self, leader: &InstanceIncarnation, now: MonoTime) {
        self.former.record_end(leader, now);
        self.update_former_validity();
    }

    /// Takes over the former leaders that the record names. Each was replaced at the latest when
    /// this instance first read of it.
    pub(crate) fn update_former_leaders(&mut self, now: MonoTime) {
        let Some(known) = &self.known else { return };
        let latest_end = now.after(self.timing.former_authority);
        self.former.adopt(&known.record, latest_end);
        self.update_former_validity();
    }

    fn update_former_validity(&mut self) {
        let until = match self.former.orders_until() {
            Some(end) => end.after(self.ledger.max_validity()),
            None => MonoTime::default(),
        };
        self.ledger.set_former_until(until);
    }

    /// Time until which grants of former leaders may be valid.
    pub fn former_grants_until(&self) -> MonoTime {
        self.ledger.former_until()
    }
}
