//! Entry of one request id in the deduplication table.

/// Latest known attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DedupEntry<A> {
    /// Digest of the request's content and caller.
    pub digest: u128,
    /// Number of the attempt that the stage belongs to; a later attempt has a larger one.
    pub attempt: u64,
    /// How far the attempt has come.
    pub stage: RunStage<A>,
}

/// How far an attempt to run a request has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunStage<A> {
    /// The attempt may still be running.
    Running,
    /// The attempt ended without an answer, and the request may have run.
    Unclear,
    /// The request ran; holds its answer unless that was too large or has been dropped.
    Ran(Option<RecordedAnswer<A>>),
}

/// Answer that is recorded for repeats of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer<A> {
    /// The recorded answer.
    pub answer: A,
    /// Size of the answer in bytes, counted against [`crate::DedupLimits::max_recorded_bytes`].
    pub bytes: usize,
}

impl<A> DedupEntry<A> {
    /// Returns a sort key by which a later report on a request replaces an earlier one.
    pub(crate) fn precedence(&self) -> (u64, u8) {
        let stage = match self.stage {
            RunStage::Running => 0,
            RunStage::Unclear => 1,
            RunStage::Ran(None) => 2,
            RunStage::Ran(Some(_)) => 3,
        };
        (self.attempt, stage)
    }
}
