//! Heartbeats between instances, as `peer_worker` sends and receives them.

use super::{
    change_world::{ChangeWorld, WorldEvent},
    era_steps, heartbeat_load,
    simulated_instance::{SimulatedInstance, WorkerSlot, WorkerState},
};
use crate::{
    heartbeat_wire::MAX_DATAGRAM_BYTES,
    knowledge_worker,
    peer_heartbeat::{LeadershipStatus, PeerHeartbeat, RecordUpdate},
    peer_worker,
    prelude::*,
};
use rand::RngExt;
use std::rc::Rc;

/// Heartbeat as its receivers get it.
#[derive(Debug)]
pub(super) struct ReceivedHeartbeat {
    /// The heartbeat without its lists of changes.
    heartbeat: PeerHeartbeat,
    updates: Vec<RecordUpdate>,
}

impl ChangeWorld {
    pub(super) fn send_heartbeat(&mut self, index: usize) {
        let now = self.now;
        let is_crowded = self.crowded_until > now;
        let instance = &mut self.instances[index];
        instance.heartbeat_at = now;
        instance.is_heartbeat_due = false;
        let is_leader = instance.is_leading();
        let mut heartbeat = PeerHeartbeat {
            instance: instance.record.name.clone(),
            incarnation: instance.record.incarnation,
            store_lost: instance.health.is_unavailable(),
            store_unstable: instance.health.is_unstable(now),
            revisions: instance.mirror.latest_revisions(),
            era: Some(instance.era.era()),
            sent_at: now.after(instance.clock_offset),
            knowledge: Some(instance.knowledge.report(now)),
            live_count: instance.peers.live_count(now),
            ..PeerHeartbeat::default()
        };
        let age = instance
            .confirmation_age(now)
            .min(Duration::from_secs(3_600));
        heartbeat.leaderships.push(LeadershipStatus {
            service: SimulatedInstance::SERVICE.into(),
            term: instance
                .leader
                .as_ref()
                .map_or(0, |(leader, _)| leader.term),
            is_leader,
            confirmation_age: age,
            leader_heard_at: None,
        });
        instance
            .published
            .retain(|(_, _, at)| now.since(*at) < heartbeat_load::PUBLISH_TIME);
        if is_leader && !heartbeat.store_lost {
            let own_candidate = WatcherCandidate {
                name: &instance.record.name,
                data_centre: &instance.record.data_centre,
                processor_share: instance.record.processor_share,
            };
            heartbeat.watchers = instance.peers.pick_watchers(own_candidate, now);
        }
        heartbeat_load::fill(&mut heartbeat, instance, is_crowded);
        let targets = self.heartbeat_targets(index, is_leader);
        let datagram = heartbeat.encode();
        self.largest_heartbeat = self.largest_heartbeat.max(datagram.len());
        let received = &datagram[..datagram.len().min(MAX_DATAGRAM_BYTES)];
        let heartbeat = Rc::new(PeerHeartbeat::decode(received).map(|mut heartbeat| {
            // What receivers take out before they keep a heartbeat, and what does not matter here.
            heartbeat.granted_ranges.clear();
            heartbeat.suspects.clear();
            heartbeat.leaving.clear();
            heartbeat.limits.clear();
            let updates = std::mem::take(&mut heartbeat.record_updates);
            ReceivedHeartbeat { heartbeat, updates }
        }));
        for target in targets {
            self.checker.record_heartbeat(now);
            self.transmit(index, Self::index_of(target), &heartbeat);
        }
        let interval = match is_leader {
            true => peer_worker::LEADER_INTERVAL,
            false => peer_worker::INTERVAL,
        };
        self.pause(
            index,
            WorkerSlot::Heartbeat,
            peer_worker::MIN_INTERVAL + interval,
        );
    }

    fn heartbeat_targets(&self, index: usize, is_leader: bool) -> Vec<SocketAddr> {
        let instance = &self.instances[index];
        let leader = instance.leader.as_ref();
        let address = leader.and_then(|(leader, _)| instance.peers.address_of(&leader.instance));
        let is_heard = instance.hears_leader(self.now)
            || instance
                .leader_view(self.now)
                .is_some_and(|view| view.silence < LeaderView::SUSPICION_TIMEOUT);
        match address {
            Some(address) if is_heard && !is_leader => vec![address],
            _ if is_leader => instance.peers.addresses(),
            leader => {
                let mut targets = instance.peers.exchange_addresses();
                targets.extend(leader);
                targets.sort();
                targets.dedup();
                targets
            }
        }
    }

    /// Sends a datagram, which may be lost, late or repeated.
    fn transmit(&mut self, from: usize, to: usize, heartbeat: &Rc<Option<ReceivedHeartbeat>>) {
        let is_lost =
            self.heartbeat_loss_until > self.now && self.rng.random_bool(Self::HEARTBEAT_LOSS);
        if is_lost || self.is_cut(from, to) || self.instances[to].started_at > self.now {
            return;
        }
        let mut delay = self.settings.heartbeat_transit + self.transit();
        if self.heartbeat_delay_until > self.now && self.rng.random_bool(0.3) {
            let late = Duration::from_millis(self.rng.random_range(10..3_000));
            if self.rng.random_bool(0.3) {
                self.schedule_in(delay, WorldEvent::Heartbeat(to, heartbeat.clone()));
            }
            delay += late;
        }
        self.schedule_in(delay, WorldEvent::Heartbeat(to, heartbeat.clone()));
    }

    /// Share of the heartbeats that are lost during such a fault.
    const HEARTBEAT_LOSS: f64 = 0.4;

    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.peer_cuts.iter().any(|(one, other, until)| {
            *until > self.now && ((*one, *other) == (from, to) || (*one, *other) == (to, from))
        })
    }

    /// Sends a heartbeat early, since something changed.
    pub(super) fn notify_heartbeat(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if std::mem::replace(&mut instance.is_heartbeat_due, true) {
            return;
        }
        let at = instance.heartbeat_at.after(peer_worker::MIN_INTERVAL);
        self.pause(index, WorkerSlot::Heartbeat, at.since(self.now));
    }

    pub(super) fn receive_heartbeat(&mut self, to: usize, received: &Option<ReceivedHeartbeat>) {
        let (now, guards) = (self.now, self.settings.guards);
        let Some(received) = received else { return };
        let mut heartbeat = received.heartbeat.clone();
        self.learn_era(to, heartbeat.era);
        heartbeat.record_updates.clone_from(&received.updates);
        if !self.instances[to].guards.feed_eras {
            era_steps::forget_eras(&mut heartbeat);
        }
        let instance = &mut self.instances[to];
        heartbeat.assume_era(instance.era.era().number);
        for update in std::mem::take(&mut heartbeat.record_updates) {
            instance.apply_record_update(&update, now);
        }
        let report = heartbeat.knowledge.map(|report| KnowledgeReport {
            hops: if guards.hops { report.hops } else { 0 },
            ..report
        });
        if !guards.peer_clock {
            heartbeat.sent_at = MonoTime::default();
        }
        let revisions = heartbeat.revisions;
        let sent_at = instance.peers.apply_heartbeat(heartbeat, now);
        if let (Some(report), Some(sent_at)) = (report, sent_at) {
            knowledge_worker::confirm(
                &mut instance.knowledge,
                instance.mirror.synced_revisions(),
                report,
                revisions,
                if guards.peer_clock { sent_at } else { now },
            );
        }
        // Without newer revisions the search of all peers would find none, as it did the last time.
        let latest = instance.mirror.latest_revisions();
        let is_newer = revisions.iter().zip(latest).any(|(told, own)| *told > own);
        if is_newer && instance.states[WorkerSlot::Poll as usize] == WorkerState::Listening {
            self.step_poll(to);
        }
    }
}
