//! What a listener reports about connections that it closes or refuses.

use crate::prelude::*;

/// Reason for which a listener closed or refused a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// It rested in `phase` for `rested` and was closed for a new one.
    Replaced {
        /// Phase in which it was.
        phase: ConnectionPhase,
        /// Time since it was opened or last answered.
        rested: Duration,
    },
    /// It was new, and all others had a request in progress.
    Refused,
    /// It was closed because it made no progress.
    Stalled(StallKind),
}

impl ConnectionEvent {
    /// Short name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Replaced {
                phase: ConnectionPhase::Silent,
                ..
            } => "silent",
            Self::Replaced {
                phase: ConnectionPhase::Lingering,
                ..
            } => "lingering",
            Self::Replaced { .. } => "idle",
            Self::Refused => "refused",
            Self::Stalled(StallKind::Head) => "stalled-head",
            Self::Stalled(StallKind::Write) => "stalled-answer",
        }
    }
}
