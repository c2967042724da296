//! Error of one attempt to run a request at a server.

use crate::prelude::*;

/// Why an attempt brought no valid answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No byte of the request was sent.
    NotSent,
    /// The connection failed before the answer was complete.
    ConnectionLost,
    /// The answer was not complete in time.
    TimedOut,
    /// The answer does not belong to this request.
    WrongAnswer,
}

impl AttemptError {
    /// Refusal that a caller gets when its request ends with this error.
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
