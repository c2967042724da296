//! How instances ask each other for updates, as `feed_client` and `feed_server` do.

use super::{
    change_world::{ChangeWorld, WorkerTurn, WorldEvent},
    era_steps,
    simulated_instance::{WorkerSlot, WorkerState},
};
use crate::{
    feed_client,
    feed_request::FeedRequest,
    feed_wire::FeedReplyWire,
    knowledge_worker,
    mirror_delta::{DeltaOutcome, MirrorDelta},
    prelude::*,
};
use rand::RngExt;
use std::rc::Rc;

impl ChangeWorld {
    pub(super) fn step_poll(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        let latest = instance.mirror.latest_revisions();
        let avoided = instance.avoided;
        let Some((address, since)) = instance.peers.newer_source(latest, avoided, now) else {
            self.next_turn(index, WorkerSlot::Poll, WorkerState::Listening);
            return;
        };
        if instance.should_watch(now)
            && !instance.health.is_unavailable()
            && now.since(since) < feed_client::OWN_WATCH_GRACE
        {
            self.pause(index, WorkerSlot::Poll, feed_client::OWN_WATCH_GRACE / 4);
            return;
        }
        self.request(index, WorkerSlot::Poll, Self::index_of(address));
    }

    pub(super) fn ask_peer(&mut self, index: usize) {
        let peers = &self.instances[index].peers;
        match peers.random_feed_address(&mut self.rng, self.now) {
            Some(address) => self.request(index, WorkerSlot::Check, Self::index_of(address)),
            None => self.retry_check(index),
        }
    }

    pub(super) fn step_seeds(&mut self, index: usize) {
        let instance = &self.instances[index];
        let known = instance.mirror.synced_revisions();
        if !instance.is_recently_started(self.now)
            && known[..2].iter().all(|known| *known > 0.into())
        {
            return;
        }
        let seed = self.rng.random_range(0..Self::SEEDS);
        self.request(index, WorkerSlot::Seeds, seed);
    }

    /// Number of instances that all others know as seeds: the first ones.
    const SEEDS: usize = 3;

    pub(super) fn asks_seeds(index: usize) -> bool {
        index >= Self::SEEDS
    }

    /// Asks another instance for updates.
    fn request(&mut self, index: usize, slot: WorkerSlot, to: usize) {
        let turn = self.next_turn(index, slot, WorkerState::Asking);
        let mirror = &self.instances[index].mirror;
        let mut request = FeedRequest::of_mirror(mirror, false);
        if !self.instances[index].guards.feed_eras {
            era_steps::forget_request_eras(&mut request);
        }
        let request = Rc::new(request);
        let no_reply = WorldEvent::Reply(turn, self.now, to, None);
        self.schedule_in(Self::stall_timeout(slot), no_reply.clone());
        let transit = self.transit();
        if self.instances[to].started_at > self.now {
            self.schedule_in(transit, no_reply);
        } else if !self.is_cut(index, to) {
            let request = WorldEvent::Request(turn, self.now, to, request);
            self.schedule_in(transit, request);
        }
    }

    /// Longest time without a further piece of a reply.
    fn stall_timeout(slot: WorkerSlot) -> Duration {
        match slot {
            WorkerSlot::Check => knowledge_worker::PEER_TIMEOUT,
            _ => feed_client::REQUEST_TIMEOUT,
        }
    }

    pub(super) fn serve_request(
        &mut self,
        turn: WorkerTurn,
        asked_at: MonoTime,
        to: usize,
        request: &FeedRequest,
    ) {
        let now = self.now;
        let instance = &mut self.instances[to];
        let era = instance.era.era();
        let mut request = *request;
        if !instance.guards.feed_eras {
            era_steps::forget_request_eras(&mut request);
        }
        let request = request.assume_era(era.number);
        let (deltas, is_current) = instance.replies.encode(&instance.mirror, request, now);
        let mut state = FeedReplyWire::default();
        state.era = Some(era.into());
        state.knowledge = is_current.then(|| instance.knowledge.report(now).into());
        let frame = Rc::new(state.append_to(&deltas).to_vec());
        if !self.is_cut(turn.instance, to) {
            self.send_frame(turn, asked_at, to, frame);
        }
    }

    pub(super) fn receive_reply(
        &mut self,
        turn: WorkerTurn,
        asked_at: MonoTime,
        from: usize,
        frame: Option<&Vec<u8>>,
    ) {
        if !self.is_current(turn) {
            return;
        }
        if frame.is_none() && self.has_progress(turn) {
            let no_reply = WorldEvent::Reply(turn, asked_at, from, None);
            self.schedule_in(Self::stall_timeout(turn.slot), no_reply);
            return;
        }
        let index = turn.instance;
        let changed = frame.and_then(|frame| self.apply_reply(index, frame, asked_at));
        let is_watching = self.instances[index].should_watch(self.now);
        match turn.slot {
            WorkerSlot::Poll => {
                match changed {
                    Some(true) if is_watching => self.restart_watches(index),
                    Some(_) => {}
                    None => {
                        let address = self.instances[from].record.feed_address;
                        self.instances[index].avoided = Some(address);
                        self.pause(index, WorkerSlot::Poll, feed_client::RETRY_DELAY);
                        return;
                    }
                }
                self.step_poll(index);
            }
            WorkerSlot::Seeds => {
                self.instances[index].is_seed_reachable = changed.is_some();
                self.pause(index, WorkerSlot::Seeds, feed_client::SEED_POLL_INTERVAL);
            }
            _ => {
                if changed == Some(true) {
                    self.restart_watches(index);
                }
                self.retry_check(index);
            }
        }
    }

    /// Applies a reply. Returns whether anything changed, or `None` if the reply is incomplete.
    fn apply_reply(&mut self, index: usize, frame: &[u8], asked_at: MonoTime) -> Option<bool> {
        let wire = <FeedReplyWire as prost::Message>::decode(frame).ok()?;
        let report = wire.knowledge.map(KnowledgeReport::from);
        self.learn_era(index, wire.era.map(StoreEra::from));
        let deltas = <Vec<MirrorDelta>>::try_from(wire).ok()?;
        let (mut changed, mut is_incomplete) = (false, false);
        for mut delta in deltas {
            if !self.instances[index].guards.feed_eras {
                era_steps::forget_delta_eras(&mut delta);
            }
            delta.assume_era(self.instances[index].era.era().number);
            let kind = delta.kind;
            match self.instances[index].mirror.take_over(delta) {
                DeltaOutcome::Update(update) => {
                    changed = true;
                    self.apply(index, kind, &update, false);
                }
                DeltaOutcome::UpToDate => {}
                DeltaOutcome::Incomplete => is_incomplete = true,
            }
        }
        if is_incomplete {
            return None;
        }
        if let Some(mut report) = report {
            if !self.settings.guards.hops {
                report.hops = 0;
            }
            let knowledge = &mut self.instances[index].knowledge;
            knowledge.confirm_from(report, asked_at);
        }
        Some(changed)
    }
}
