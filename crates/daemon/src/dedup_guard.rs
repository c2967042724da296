//! The running attempt of a non-repeatable request.

use crate::prelude::*;

/// Reports how an attempt ended, also when its future is dropped.
pub(crate) struct DedupGuard {
    node: Arc<InstanceNode>,
    group: DedupGroup,
    id: Uuid,
    attempt: u64,
    /// Whether bytes of the request may have left for the server.
    sent: bool,
    reported: bool,
}

impl DedupGuard {
    /// Guard of an attempt that has not been sent.
    pub(crate) fn new(node: &Arc<InstanceNode>, group: DedupGroup, id: Uuid, attempt: u64) -> Self {
        Self {
            node: node.clone(),
            group,
            id,
            attempt,
            sent: false,
            reported: false,
        }
    }

    /// Records that bytes of the request may leave from now on.
    pub(crate) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Records that the request certainly has not run so far.
    pub(crate) fn mark_unsent(&mut self) {
        self.sent = false;
    }

    /// Reports the outcome that `answer` tells.
    pub(crate) fn finish(mut self, answer: &CallerAnswer) {
        let stage = match answer {
            CallerAnswer::Complete { .. } => Some(RunStage::Ran(Some(RecordedAnswer {
                answer: answer.clone(),
                bytes: answer.size_bytes(),
            }))),
            CallerAnswer::Refusal(notice) => match notice.outcome {
                RunOutcome::NotRun => None,
                RunOutcome::Ran => Some(RunStage::Ran(None)),
                RunOutcome::Unknown => Some(RunStage::Unclear),
            },
        };
        self.report(stage);
    }

    /// Records the stage here and sends it to the other members; `None` withdraws the attempt.
    fn report(&mut self, stage: Option<RunStage<CallerAnswer>>) {
        self.reported = true;
        let withdrawn = stage.is_none();
        let part = &self.group.part;
        self.node.dedup.finish(part, self.id, self.attempt, stage);
        let change = match withdrawn {
            true => Some(DedupChange::Withdraw(self.id, self.attempt)),
            false => self.node.dedup.current_change(part, self.id),
        };
        if let Some(change) = change {
            dedup_worker::broadcast(&self.node, &self.group, change);
        }
    }
}

impl Drop for DedupGuard {
    fn drop(&mut self) {
        if !self.reported {
            self.report(self.sent.then_some(RunStage::Unclear));
        }
    }
}
