//! What is remembered of one request id.

/// One remembered request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DedupEntry<A> {
    /// Digest of the request's content and caller.
    pub digest: u128,
    /// Number of the attempt that the stage belongs to; a later attempt has a larger one.
    pub attempt: u64,
    /// How far it came.
    pub stage: RunStage<A>,
}

/// How far a request came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunStage<A> {
    /// It may be running now.
    Running,
    /// It ended without an answer and may have run.
    Unclear,
    /// It ran; its answer where that is kept.
    Ran(Option<RecordedAnswer<A>>),
}

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer<A> {
    /// Answer.
    pub answer: A,
    /// Bytes that it counts for.
    pub bytes: usize,
}

impl<A> DedupEntry<A> {
    /// Order in which reports of one request replace each other.
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
