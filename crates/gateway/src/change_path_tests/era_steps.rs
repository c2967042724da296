//! How an instance learns of a new era of the store, as `object_client`, `era_worker` and
//! `object_watcher` do.

use super::{
    change_world::{ChangeWorld, StoreCall},
    simulated_instance::SimulatedInstance,
    simulated_store::{StoreAnswer, StoreQuestion},
};
use crate::{
    feed_request::FeedRequest,
    mirror_delta::{MirrorDelta, RemainingObjects},
    peer_heartbeat::PeerHeartbeat,
    prelude::*,
};

impl ChangeWorld {
    /// Answer to a question that an instance does not send, as its revision is of another era.
    pub(super) fn refusal(&self, index: usize, question: &StoreQuestion) -> Option<StoreAnswer> {
        let guards = self.instances[index].guards;
        let is_watch = matches!(question, StoreQuestion::Watch { .. });
        match is_watch && !guards.watch_eras {
            true => None,
            false => question.refusal(self.instances[index].era.era().number),
        }
    }

    /// Reads an answer in the era that it states; `None` if that is not in force.
    pub(super) fn read_answer(
        &mut self,
        call: &StoreCall,
        stated: u64,
        answer: &StoreAnswer,
    ) -> Option<StoreAnswer> {
        let index = call.from.instance;
        let notice = match self.instances[index].guards.eras {
            true => EraNotice::Stated(stated),
            false => EraNotice::Missing,
        };
        let now = self.now;
        let verdict = self.instances[index]
            .era
            .observe(notice, call.began_at, now);
        match verdict {
            EraVerdict::Stale => return None,
            EraVerdict::Begun { .. } => self.begin_era(index),
            EraVerdict::Current => {}
        }
        let refusal = self.refusal(index, &call.question);
        let era = self.instances[index].era.era().number;
        Some(refusal.unwrap_or_else(|| answer.in_era(era)))
    }

    /// Takes over the era that another instance tells.
    pub(super) fn learn_era(&mut self, index: usize, era: Option<StoreEra>) {
        let Some(era) = era.filter(|_| self.instances[index].guards.eras) else {
            return;
        };
        let now = self.now;
        if self.instances[index].era.learn(era, now).is_some() {
            self.begin_era(index);
        }
    }

    fn begin_era(&mut self, index: usize) {
        self.restart_watches(index);
        self.notify_heartbeat(index);
    }
}

impl SimulatedInstance {
    /// Forgets a kind if a list has a lower revision than was known when it was asked for.
    pub(super) fn forget_if_restored(&mut self, question: &StoreQuestion, answer: &StoreAnswer) {
        let (StoreQuestion::List { kind, known }, StoreAnswer::List(page)) = (question, answer)
        else {
            return;
        };
        if page.revision < *known {
            self.mirror.forget(*kind);
            self.knowledge.forget_revisions();
        }
    }
}

/// Leaves out the eras of a heartbeat's revisions.
pub(super) fn forget_eras(heartbeat: &mut PeerHeartbeat) {
    heartbeat
        .revisions
        .iter_mut()
        .for_each(|revision| revision.era = 0);
    for update in &mut heartbeat.record_updates {
        update.base_revision.era = 0;
        update.revision.era = 0;
    }
}

/// Leaves out the eras of a delta's revisions.
pub(super) fn forget_delta_eras(delta: &mut MirrorDelta) {
    delta.synced_revision.era = 0;
    delta.latest_revision.era = 0;
    for object in &mut delta.changed {
        object.revision.era = 0;
    }
    if let RemainingObjects::AllExcept(removed) = &mut delta.remaining {
        removed
            .iter_mut()
            .for_each(|(revision, _)| revision.era = 0);
    }
}

/// Leaves out of a request what builds that know of no eras do not send.
pub(super) fn forget_request_eras(request: &mut FeedRequest) {
    request.patch_base = StoreRevision::ZERO;
    request.reads_compressed = false;
    let revisions = [&mut request.synced_revisions, &mut request.latest_revisions];
    for revision in revisions.into_iter().flatten() {
        revision.era = 0;
    }
}
