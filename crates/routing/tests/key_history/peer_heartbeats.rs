//! Heartbeats between instances: lost, late, and between instances that are cut off from each other.

use crate::history_world::{HistoryWorld, MAX_INSTANCES, instance_of};
use geraniummast_model::MonoTime;
use geraniummast_routing::*;

/// Time between the heartbeats of an instance.
const INTERVAL_MS: u64 = 240;

/// Heartbeat on its way.
pub(crate) struct SentHeartbeat {
    arrives_at: u64,
    sent_at: u64,
    from: usize,
    to: usize,
    sender: InstanceIncarnation,
    /// Era and term that the sender knows.
    era: u64,
    term: u64,
    /// When the last heartbeat was sent that it had received from the leader of that term.
    leader_heard_at: Option<u64>,
}

impl HistoryWorld {
    /// Sends the heartbeats that are due, and delivers those that arrive.
    pub(crate) fn exchange_heartbeats(&mut self) {
        if !self.has_no_faults && self.has_fault() {
            self.cut_links();
        }
        for from in 0..self.instances.len() {
            let is_due = (self.now / 20 + from as u64).is_multiple_of(INTERVAL_MS / 20);
            if is_due && self.is_alive(from) {
                self.send_heartbeats(from);
            }
        }
        let now = self.now;
        let arrived: Vec<_> = self
            .heartbeats
            .extract_if(.., |heartbeat| heartbeat.arrives_at <= now)
            .collect();
        for heartbeat in arrived {
            self.receive(&heartbeat);
        }
    }

    /// Cuts instances off from the others and from the store, or from one server.
    fn cut_links(&mut self) {
        let index = self.random_between(0, MAX_INSTANCES as u64) as usize;
        let until = self.now + self.random_between(500, 9_000);
        match self.random_between(0, 1_000) {
            0..6 => self.instances[index].peers_cut_until = until,
            6..12 => {
                self.instances[index].peers_cut_until = until;
                self.instances[index].store_cut_until = until;
            }
            12..24 => {
                let server = self.random_between(0, self.servers.len() as u64) as usize;
                self.instances[index].links_cut_until[server] = until;
                self.instances[index].suspect_until[server] = until;
            }
            _ => {}
        }
    }

    fn is_cut_off(&self, index: usize) -> bool {
        self.instances[index].peers_cut_until > self.now
    }

    fn send_heartbeats(&mut self, from: usize) {
        let instance = &self.instances[from];
        let sender = instance.leader.own_incarnation().clone();
        let era = instance.era;
        let record = instance.leader.record();
        let term = record.map_or(0, |(record, _)| record.term);
        let leader_heard_at = record.and_then(|(record, _)| {
            let (sent_at, incarnation) = instance.heard[instance_of(&record.leader)];
            (incarnation == record.leader.incarnation && sent_at > 0).then_some(sent_at)
        });
        for to in 0..self.instances.len() {
            let is_lost = self.is_cut_off(from) || self.is_cut_off(to) || self.chance(100);
            if to == from || is_lost {
                continue;
            }
            let delay = match self.chance(50) {
                true => self.random_between(40, 4_000),
                false => self.random_between(0, 40),
            };
            self.heartbeats.push(SentHeartbeat {
                arrives_at: self.now + delay,
                sent_at: self.now,
                from,
                to,
                sender: sender.clone(),
                era,
                term,
                leader_heard_at,
            });
        }
    }

    fn receive(&mut self, heartbeat: &SentHeartbeat) {
        if !self.is_alive(heartbeat.to) {
            return;
        }
        let now = MonoTime(self.now * 1_000);
        self.learn_era(heartbeat.to, heartbeat.era);
        self.end_former_leaders(heartbeat.to, &heartbeat.sender, heartbeat.term);
        let instance = &mut self.instances[heartbeat.to];
        let heard = &mut instance.heard[heartbeat.from];
        if heartbeat.sent_at > heard.0 {
            *heard = (heartbeat.sent_at, heartbeat.sender.incarnation);
        }
        let leader_heard_at = heartbeat.leader_heard_at.map(|at| MonoTime(at * 1_000));
        instance
            .leader
            .record_peer_term(&heartbeat.sender, heartbeat.term, leader_heard_at, now);
        instance.leader.record_peer_report(
            &heartbeat.sender,
            heartbeat.era,
            heartbeat.term,
            leader_heard_at,
            now,
        );
    }

    /// New supporters of a leader, if they change.
    pub(crate) fn due_supporters(&self, index: usize) -> Option<Vec<InstanceIncarnation>> {
        let leader = &self.instances[index].leader;
        let (record, _) = leader.record()?;
        let since = MonoTime(self.now * 1_000).before(std::time::Duration::from_secs(2));
        let candidates: Vec<SupporterCandidate<'_>> = leader
            .supporters_since(since)
            .into_iter()
            .map(|instance| SupporterCandidate {
                instance,
                data_centre: "",
            })
            .collect();
        let supporters = SupporterSelection::select(&record.supporters, &candidates);
        (supporters != record.supporters).then_some(supporters)
    }
}
