//! The running attempt of a non-repeatable request.

use crate::prelude::*;

/// Reports how an attempt ended, also when its future is dropped.
pub(crate) struct DedupGuard {
    node: Arc<InstanceNode>,
    lead: DedupGroup,
    id: Uuid,
    attempt: u64,
    sent: bool,
    ended: bool,
}

impl DedupGuard {
    /// Guard of an attempt that has not been sent.
    pub(crate) fn new(node: &Arc<InstanceNode>, lead: DedupGroup, id: Uuid, attempt: u64) -> Self {
        Self {
            node: node.clone(),
            lead,
            id,
            attempt,
            sent: false,
            ended: false,
        }
    }

    /// Notes that bytes of the request may leave from now on.
    pub(crate) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Notes that the request surely did not run so far.
    pub(crate) fn mark_unsent(&mut self) {
        self.sent = false;
    }

    /// Reports the end that `answer` stands for.
    pub(crate) fn end(mut self, answer: &CallerAnswer) {
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

    fn report(&mut self, stage: Option<RunStage<CallerAnswer>>) {
        self.ended = true;
        let withdrawn = stage.is_none();
        let part = &self.lead.part;
        self.node.dedup.end(part, self.id, self.attempt, stage);
        let change = match withdrawn {
            true => Some(DedupChange::Withdraw(self.id, self.attempt)),
            false => self.node.dedup.change_of(part, self.id),
        };
        if let Some(change) = change {
            dedup_worker::tell(&self.node, &self.lead, change);
        }
    }
}

impl Drop for DedupGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.report(self.sent.then_some(RunStage::Unclear));
        }
    }
}
