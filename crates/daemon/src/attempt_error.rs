//! Why one attempt at a server gave no answer.

use crate::prelude::*;

/// Failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No byte of the request left.
    NotSent,
    /// The connection failed before the whole answer.
    ConnectionLost,
    /// No whole answer came in time.
    TimedOut,
    /// The answer was not one to this request.
    WrongAnswer,
}

impl AttemptError {
    /// Refusal of a request that ends with this failure.
    pub(crate) fn refusal(self) -> RefusalNotice {
        match self {
            Self::NotSent => RefusalNotice::try_again(
                RefusalReason::ServerUnreachable,
                dispatch_worker::UNREACHABLE_RETRY_AFTER,
            ),
            Self::ConnectionLost => RefusalNotice::may_have_run(RefusalReason::ServerLost),
            Self::TimedOut => RefusalNotice::may_have_run(RefusalReason::Deadline),
            Self::WrongAnswer => RefusalNotice::may_have_run(RefusalReason::WrongAnswer),
        }
    }
}
