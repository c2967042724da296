//! How an instance takes over the keys, moves them and announces itself, as `leader_worker`,
//! `record_writer` and `record_worker` do.

use super::{
    change_world::{ChangeWorld, StoreCall},
    simulated_instance::{LeaderRecord, WorkerSlot, WorkerState},
    simulated_store::{StoreAnswer, StoreQuestion},
};
use crate::{leader_worker, prelude::*};

/// Time between two looks at the leader.
const INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed announcement is repeated.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(500);

impl ChangeWorld {
    pub(super) fn step_leader(&mut self, instance: usize) {
        let now = self.now;
        let simulated = &self.instances[instance];
        let is_unavailable = simulated.health.is_unavailable();
        let pause = leader_worker::takeover_pause(is_unavailable, simulated.peers.is_exchanging());
        let is_due = now.since(simulated.asked_leader_at) >= pause;
        let writes = match simulated.is_leading() {
            true => self.busy_until > now,
            false => {
                !simulated.hears_leader(now)
                    && simulated
                        .leader_view(now)
                        .is_some_and(|view| view.next_step() == TakeoverStep::TakeOver)
            }
        };
        let Some((record, revision)) = simulated.leader.clone().filter(|_| is_due && writes) else {
            self.pause(instance, WorkerSlot::Leader, INTERVAL);
            return;
        };
        let next = match simulated.is_leading() {
            true => record,
            false => LeaderRecord {
                instance: simulated.record.name.clone(),
                incarnation: simulated.record.incarnation,
                term: record.term + 1,
            },
        };
        self.instances[instance].asked_leader_at = now;
        let write = StoreQuestion::Write {
            name: Self::key_record_name(),
            base: Some(revision),
            spec: RecordBody::write(&next).unwrap(),
        };
        self.call(instance, WorkerSlot::Leader, WorkerState::Calling, write);
    }

    pub(super) fn finish_leader_call(
        &mut self,
        instance: usize,
        call: &StoreCall,
        answer: Option<&StoreAnswer>,
    ) {
        let now = self.now;
        match answer {
            Some(StoreAnswer::Written(object)) => {
                let record: LeaderRecord = RecordBody::read(object).unwrap();
                let simulated = &mut self.instances[instance];
                let base = simulated
                    .leader
                    .as_ref()
                    .map_or(StoreRevision::ZERO, |(_, base)| *base);
                if simulated.is_leading() {
                    simulated.published.push((base, object.revision, now));
                }
                simulated.adopt(record, object.revision, now);
                let covered = simulated.covered(object.revision);
                simulated.knowledge.record_change(covered);
                simulated.knowledge.observe(call.began_at, covered);
                if simulated.is_leading() {
                    simulated.confirmed_at = Some(call.began_at);
                }
                self.notify_heartbeat(instance);
            }
            Some(StoreAnswer::Object(Some(object))) => {
                let record: LeaderRecord = RecordBody::read(object).unwrap();
                let simulated = &mut self.instances[instance];
                simulated.adopt(record, object.revision, now);
                if simulated.is_leading() {
                    simulated.confirmed_at = Some(call.began_at);
                }
            }
            // Read again after a conflict or a write that may have been carried out.
            _ if matches!(*call.question, StoreQuestion::Write { .. }) => {
                let read = StoreQuestion::Read(Self::key_record_name());
                self.call(instance, WorkerSlot::Leader, WorkerState::Calling, read);
                return;
            }
            _ => {}
        }
        self.pause(instance, WorkerSlot::Leader, INTERVAL);
    }

    pub(super) fn announce(&mut self, instance: usize) {
        let record = &self.instances[instance].record;
        let write = StoreQuestion::Write {
            name: format!("{}{}", InstanceRecord::PREFIX, record.name),
            base: None,
            spec: RecordBody::write(record).unwrap(),
        };
        self.call(instance, WorkerSlot::Announce, WorkerState::Calling, write);
    }

    pub(super) fn finish_announcement(&mut self, instance: usize, answer: Option<&StoreAnswer>) {
        match answer {
            Some(_) => {
                self.next_turn(instance, WorkerSlot::Announce, WorkerState::Paused);
            }
            None => self.pause(instance, WorkerSlot::Announce, ANNOUNCE_DELAY),
        }
    }
}
