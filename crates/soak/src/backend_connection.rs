//! What a simulated server remembers of one connection.

use crate::prelude::*;
use http::HeaderValue;

/// Connection on which a rejection may come a second time.
#[derive(Default)]
pub(crate) struct BackendConnection {
    /// Identifier of the request that was rejected last, if no request came after it.
    rejected: Mutex<Option<HeaderValue>>,
}

/// What a server that repeats rejections does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectionStep {
    /// Executes and answers it.
    Answer,
    /// Rejects it.
    Reject,
    /// Executes it, and sends its earlier rejection again in place of the answer.
    RepeatRejection,
}

impl BackendConnection {
    /// Decides on a request with the identifier `id`, which may have been rejected on this connection.
    pub(crate) fn next_step(&self, id: Option<&HeaderValue>) -> RejectionStep {
        let mut rejected = self.rejected.lock().unwrap();
        let last = rejected.take();
        if last.is_some() && last.as_ref() == id {
            return RejectionStep::RepeatRejection;
        }
        if rand::random() {
            *rejected = id.cloned();
            return RejectionStep::Reject;
        }
        RejectionStep::Answer
    }
}
