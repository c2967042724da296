//! How an instance watches the store and checks its knowledge, as `object_watcher`,
//! `knowledge_worker` and `store_check` do.

use super::{
    change_world::{ChangeWorld, WorkerTurn, WorldEvent},
    simulated_instance::{CheckProgress, WorkerSlot, WorkerState},
    simulated_store::{StoreAnswer, StoreQuestion},
};
use crate::prelude::*;
use crate::{
    knowledge_worker,
    object_mirror::{OBJECT_KINDS, position_of},
    object_watcher, store_check,
};
use rand::RngExt;

fn kind_of(slot: WorkerSlot) -> ObjectKind {
    OBJECT_KINDS[slot as usize]
}

/// Question for the changes of a kind after those that are known.
fn question(kind: ObjectKind, known: StoreRevision, wait: Duration) -> StoreQuestion {
    match known {
        StoreRevision::ZERO => StoreQuestion::List { kind, known },
        after => StoreQuestion::Watch { kind, after, wait },
    }
}

fn update(answer: &StoreAnswer) -> Option<StoreUpdate> {
    match answer {
        StoreAnswer::List(page) => Some(StoreUpdate::List(page.clone())),
        StoreAnswer::Changes(changes) => Some(StoreUpdate::Changes(changes.clone())),
        _ => None,
    }
}

impl ChangeWorld {
    pub(super) fn apply(
        &mut self,
        instance: usize,
        kind: ObjectKind,
        update: &StoreUpdate,
        is_from_store: bool,
    ) {
        let now = self.now;
        if self.instances[instance].apply(kind, update, is_from_store, now) {
            self.notify_heartbeat(instance);
        }
        self.check_order(instance);
    }

    pub(super) fn step_watch(&mut self, instance: usize, slot: WorkerSlot) {
        let kind = kind_of(slot);
        let simulated = &self.instances[instance];
        let known = simulated.mirror.synced_revisions()[position_of(kind)];
        let is_fed = simulated.is_recently_started(self.now) && simulated.is_seed_reachable;
        if known > StoreRevision::ZERO && !simulated.should_watch(self.now) || is_fed {
            self.pause(instance, slot, object_watcher::WATCHER_CHECK_INTERVAL);
            return;
        }
        match known == StoreRevision::ZERO || simulated.must_list[position_of(kind)] {
            true => {
                let list = StoreQuestion::List { kind, known };
                self.call(instance, slot, WorkerState::Calling, list);
            }
            false => {
                let watch = question(kind, known, object_watcher::WATCH_TIMEOUT);
                self.call(instance, slot, WorkerState::Watching, watch);
            }
        }
    }

    pub(super) fn check_watch(&mut self, turn: WorkerTurn) {
        match self.instances[turn.instance].should_watch(self.now) {
            true => {
                let interval = object_watcher::WATCHER_CHECK_INTERVAL;
                self.schedule_in(interval, WorldEvent::CheckWatch(turn));
            }
            false => self.step_watch(turn.instance, turn.slot),
        }
    }

    pub(super) fn finish_watch(
        &mut self,
        instance: usize,
        slot: WorkerSlot,
        answer: Option<&StoreAnswer>,
    ) {
        let kind = kind_of(slot);
        let position = position_of(kind);
        let Some(answer) = answer else {
            let backoff = self.instances[instance].backoffs[position];
            let delay = backoff.mul_f64(0.75 + 0.5 * self.rng.random::<f64>());
            self.instances[instance].backoffs[position] =
                (backoff * 2).min(object_watcher::MAX_BACKOFF);
            self.pause(instance, slot, delay);
            return;
        };
        let Some(update) = update(answer) else {
            self.instances[instance].must_list[position] = true;
            self.step_watch(instance, slot);
            return;
        };
        self.instances[instance].must_list[position] = false;
        self.instances[instance].backoffs[position] = object_watcher::MIN_BACKOFF;
        self.apply(instance, kind, &update, true);
        match update {
            StoreUpdate::Changes(_) if kind == ObjectKind::Servers => {
                self.pause(instance, slot, object_watcher::SERVERS_BATCH_DELAY);
            }
            _ => self.step_watch(instance, slot),
        }
    }

    pub(super) fn step_check(&mut self, instance: usize) {
        let draw = self.rng.random();
        let escalation_draw = self.rng.random();
        let now = self.now;
        let simulated = &self.instances[instance];
        let is_source = simulated.is_leading();
        let is_confirmation_due =
            is_source && simulated.confirmation_age(now) >= KnowledgeAge::CHECK_AGE;
        let step = if is_confirmation_due {
            RefreshStep::AskStore
        } else if simulated.is_recently_started(now) || !self.settings.guards.ageing {
            RefreshStep::Wait
        } else {
            let instances = simulated.peers.instance_count();
            let is_asked = simulated.peers.is_exchanging();
            let knowledge = &simulated.knowledge;
            let step = knowledge.next_step(is_source, is_asked, instances, now, draw);
            let is_failing = simulated.peers.is_store_failing(now);
            let may_reach_store = !is_failing && !simulated.health.is_unstable(now);
            knowledge.escalate(step, may_reach_store, now, escalation_draw)
        };
        match step {
            RefreshStep::Wait => {
                self.instances[instance].check_delay = knowledge_worker::MIN_RETRY_DELAY;
                let simulated = &self.instances[instance];
                let age = simulated.knowledge.age(now);
                self.pause(
                    instance,
                    WorkerSlot::Check,
                    knowledge_worker::pause(age, is_source),
                );
            }
            RefreshStep::AskPeer => self.ask_peer(instance),
            RefreshStep::AskStore => {
                self.instances[instance].check = CheckProgress {
                    asked_at: now,
                    kinds: vec![ObjectKind::Records],
                    ..CheckProgress::default()
                };
                self.fetch_next(instance);
            }
        }
    }

    /// Asks for the changes of the next kind of a check, or ends the check.
    fn fetch_next(&mut self, instance: usize) {
        let simulated = &mut self.instances[instance];
        let Some(kind) = simulated.check.kinds.first() else {
            let revision = simulated.covered(simulated.check.revision);
            simulated.knowledge.record_complete(revision);
            if simulated.check.has_changed {
                self.restart_watches(instance);
            }
            self.step_check(instance);
            return;
        };
        let known = simulated.mirror.synced_revisions()[position_of(*kind)];
        let next = match self.settings.guards.ageing {
            true => question(*kind, known, store_check::WAIT),
            // Only the lead is confirmed, by the key record.
            false => StoreQuestion::Read(Self::key_record_name()),
        };
        self.call(instance, WorkerSlot::Check, WorkerState::Calling, next);
    }

    /// Looks at the age again after a call that did not help.
    pub(super) fn retry_check(&mut self, instance: usize) {
        let spread = 0.5 + self.rng.random::<f64>();
        let delay = &mut self.instances[instance].check_delay;
        let pause = delay.mul_f64(spread);
        *delay = (*delay * 2).min(knowledge_worker::MAX_RETRY_DELAY);
        self.pause(instance, WorkerSlot::Check, pause);
    }

    pub(super) fn continue_check(&mut self, instance: usize, answer: Option<&StoreAnswer>) {
        let Some(answer) = answer else {
            self.retry_check(instance);
            return;
        };
        let kind = self.instances[instance].check.kinds[0];
        if let StoreAnswer::Compacted = answer {
            let known = self.instances[instance].mirror.synced_revisions()[position_of(kind)];
            let list = StoreQuestion::List { kind, known };
            self.call(instance, WorkerSlot::Check, WorkerState::Calling, list);
            return;
        }
        let Some(update) = update(answer) else {
            self.confirm_lead(instance);
            self.step_check(instance);
            return;
        };
        let (revision, has_changed) = match &update {
            StoreUpdate::List(page) => (page.revision, true),
            StoreUpdate::Changes(changes) => (changes.revision, !changes.events.is_empty()),
        };
        self.apply(instance, kind, &update, true);
        let is_first = self.instances[instance].check.revision == StoreRevision::ZERO;
        let has_coverage = self.settings.guards.coverage;
        let simulated = &mut self.instances[instance];
        simulated.check.has_changed |= has_changed;
        simulated.check.kinds.remove(0);
        if is_first {
            simulated.check.revision = revision;
            let covered = simulated.covered(revision);
            if !has_coverage {
                simulated.knowledge.record_complete(covered);
            }
            simulated
                .knowledge
                .observe(simulated.check.asked_at, covered);
            self.confirm_lead(instance);
            self.instances[instance].check.kinds =
                vec![ObjectKind::Servers, ObjectKind::Configuration];
        }
        let simulated = &mut self.instances[instance];
        let revision = simulated.check.revision;
        let synced = simulated.mirror.synced_revisions();
        while let Some(kind) = simulated.check.kinds.first()
            && (simulated.knowledge.covers(simulated.covered(revision))
                || store_check::is_known(&simulated.knowledge, synced, *kind, revision))
        {
            simulated.check.kinds.remove(0);
        }
        self.fetch_next(instance);
    }

    fn confirm_lead(&mut self, instance: usize) {
        let simulated = &mut self.instances[instance];
        if simulated.is_leading() {
            simulated.confirmed_at = Some(simulated.check.asked_at);
        }
    }
}
