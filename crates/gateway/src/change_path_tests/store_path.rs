//! Calls to the store, as `object_client` makes them, and the watches that are open there.

use super::{
    change_world::{ChangeWorld, StoreCall, WorldEvent},
    simulated_instance::{WorkerSlot, WorkerState},
    simulated_store::{StoreAnswer, StoreQuestion},
};
use crate::prelude::*;
use std::rc::Rc;

/// Slots of the watches.
const WATCHES: [WorkerSlot; 3] = [
    WorkerSlot::WatchServers,
    WorkerSlot::WatchConfiguration,
    WorkerSlot::WatchRecords,
];

impl ChangeWorld {
    /// Starts a call of a worker.
    pub(super) fn call(
        &mut self,
        instance: usize,
        slot: WorkerSlot,
        state: WorkerState,
        question: StoreQuestion,
    ) {
        let from = self.next_turn(instance, slot, state);
        if let Some(answer) = self.refusal(instance, &question) {
            let call = StoreCall {
                from,
                question: Rc::new(question),
                began_at: self.now,
                is_void: false,
            };
            self.finish_call(&call, Some(&answer));
            return;
        }
        let is_void = self.instances[instance].take_idle(self.now);
        // Reads over a kept connection are given up early.
        let is_read = question.wait() < ObjectClient::REUSED_TIMEOUT;
        let timeout = match is_void && is_read {
            true => ObjectClient::REUSED_TIMEOUT,
            false => ObjectClient::TIMEOUT,
        };
        let timeout = timeout + question.wait();
        let call = StoreCall {
            from,
            question: Rc::new(question),
            began_at: self.now,
            is_void,
        };
        let is_refused = self.instances[instance].refused_until > self.now;
        if is_refused || self.store_refuses_until > self.now {
            let transit = self.transit();
            self.checker.record_call(self.now);
            self.schedule_in(transit, WorldEvent::GiveUp(call));
            return;
        }
        self.schedule_in(timeout, WorldEvent::GiveUp(call.clone()));
        if state == WorkerState::Watching {
            let interval = crate::object_watcher::WATCHER_CHECK_INTERVAL;
            self.schedule_in(interval, WorldEvent::CheckWatch(from));
        }
        if !call.is_void && self.instances[instance].cut_until <= self.now {
            let transit = self.transit();
            self.schedule_in(transit, WorldEvent::Call(call));
        }
    }

    /// Has the store refuse all calls for a time, and end those that are open.
    pub(super) fn refuse_calls(&mut self, span: Duration) {
        self.store_refuses_until = self.now.after(span);
        for call in std::mem::take(&mut self.open_watches) {
            let transit = self.transit();
            self.schedule_in(transit, WorldEvent::GiveUp(call));
        }
    }

    pub(super) fn receive_call(&mut self, call: StoreCall) {
        self.checker.record_call(self.now);
        if let StoreQuestion::List { .. } = *call.question {
            self.checker.record_list(self.now);
        }
        let before = self.store.revision;
        match self.store.answer(&call.question, self.now) {
            Some(answer) => self.answer(&call, answer),
            None => {
                let wait = call.question.wait();
                self.schedule_in(wait, WorldEvent::EndWatch(call.clone()));
                self.open_watches.push(call);
            }
        }
        if self.store.revision != before {
            self.answer_watches();
        }
    }

    fn answer(&mut self, call: &StoreCall, answer: StoreAnswer) {
        if self.instances[call.from.instance].cut_until <= self.now {
            let sent_at = self.now.after(self.transit());
            let bytes = self.configuration_bytes(&answer);
            let arrived_at = self.receive_bytes(call.from.instance, bytes, sent_at);
            if bytes > 0 {
                self.record_answer(call.from, arrived_at);
            }
            let answer = WorldEvent::Answer(call.clone(), self.store.era, Rc::new(answer));
            self.schedule(arrived_at, answer);
        }
    }

    /// Answers the open watches that the last change ends.
    pub(super) fn answer_watches(&mut self) {
        for call in std::mem::take(&mut self.open_watches) {
            match self.store.answer_watch(&call.question) {
                Some(answer) => self.answer(&call, answer),
                None => self.open_watches.push(call),
            }
        }
    }

    pub(super) fn end_watch(&mut self, call: &StoreCall) {
        let (from, began_at) = (call.from, call.began_at);
        let position = self.open_watches.iter().position(|open| {
            open.from.instance == from.instance
                && open.from.incarnation == from.incarnation
                && open.from.slot as usize == from.slot as usize
                && open.began_at == began_at
        });
        if let Some(position) = position {
            self.open_watches.swap_remove(position);
            let answer = self.store.empty_changes();
            self.answer(call, answer);
        }
    }

    pub(super) fn receive_answer(&mut self, call: &StoreCall, stated: u64, answer: &StoreAnswer) {
        if !self.is_current(call.from) {
            return;
        }
        let now = self.now;
        let instance = &mut self.instances[call.from.instance];
        let is_watch = instance.states[call.from.slot as usize] == WorkerState::Watching;
        if call.began_at <= instance.calls_lost_at
            || is_watch && call.began_at <= instance.watches_lost_at
        {
            return;
        }
        instance.idle.push((now, false));
        instance.health.record_success(now);
        if std::mem::take(&mut instance.failures) > 0 {
            self.restart_watches(call.from.instance);
        }
        let answer = self.read_answer(call, stated, answer);
        self.finish_call(call, answer.as_ref());
    }

    pub(super) fn give_up(&mut self, call: &StoreCall) {
        if !self.is_current(call.from) {
            return;
        }
        if let Some(arrived_at) = self.arriving_answer(call.from) {
            self.schedule(arrived_at, WorldEvent::GiveUp(call.clone()));
            return;
        }
        let now = self.now;
        let instance = &mut self.instances[call.from.instance];
        instance.idle.clear();
        instance.failures += 1;
        instance.health.record_failure(now, "timeout");
        self.finish_call(call, None);
    }

    pub(super) fn finish_call(&mut self, call: &StoreCall, answer: Option<&StoreAnswer>) {
        let (instance, slot) = (call.from.instance, call.from.slot);
        if !self.is_current(call.from) {
            // The answer has itself restarted this watch.
            return;
        }
        if let Some(answer) = answer {
            self.instances[instance].forget_if_restored(&call.question, answer);
        }
        match slot {
            WorkerSlot::WatchServers
            | WorkerSlot::WatchConfiguration
            | WorkerSlot::WatchRecords => self.finish_watch(instance, slot, answer),
            WorkerSlot::Check => self.continue_check(instance, answer),
            WorkerSlot::Leader => self.finish_leader_call(instance, call, answer),
            WorkerSlot::Announce => self.finish_announcement(instance, answer),
            WorkerSlot::Poll | WorkerSlot::Seeds | WorkerSlot::Heartbeat => {}
        }
    }

    /// Starts all watches of an instance again, since they may be stale.
    pub(super) fn restart_watches(&mut self, instance: usize) {
        for slot in WATCHES {
            if self.instances[instance].states[slot as usize] == WorkerState::Watching {
                self.step_watch(instance, slot);
            }
        }
    }
}
