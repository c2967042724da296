//! Reasons for refusals, as callers see them.

use crate::prelude::*;

/// Why a request got no answer from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// The service is not declared.
    UnknownService,
    /// No class of the service matches.
    UnknownClass,
    /// The body exceeds the class's bound.
    BodyTooLarge,
    /// The answer exceeds the class's bound.
    AnswerTooLarge,
    /// The preset in force refuses the class.
    ClassRefused,
    /// No configuration has been read yet.
    NotConfigured,
    /// The instance is stopping.
    Draining,
    /// No instance leads the key's part.
    NoLeader,
    /// No server owns the key.
    NoOwner,
    /// The key is moving between servers.
    Moving,
    /// All slots are taken and the queue is full.
    Overloaded,
    /// The caller took more than its share.
    CallerLimit,
    /// The deadline passed before the request was sent.
    DeadlineBeforeSend,
    /// The deadline passed without an answer.
    Deadline,
    /// The server refused the request.
    ServerRefused,
    /// The connection to the server failed.
    ServerUnreachable,
    /// The connection ended before the whole answer.
    ServerLost,
    /// The answer was not one to this request.
    WrongAnswer,
    /// The instance that led the part was lost.
    LeaderLost,
    /// A request of the same id is still running.
    InProgress,
    /// The id was used before and its outcome is no longer known.
    OutcomeForgotten,
    /// The id was used before with a different request.
    IdReused,
    /// The request ran; its answer is no longer kept.
    AnswerNotKept,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 24] = [
        Self::BadRequest,
        Self::UnknownService,
        Self::UnknownClass,
        Self::BodyTooLarge,
        Self::AnswerTooLarge,
        Self::ClassRefused,
        Self::NotConfigured,
        Self::Draining,
        Self::NoLeader,
        Self::NoOwner,
        Self::Moving,
        Self::Overloaded,
        Self::CallerLimit,
        Self::DeadlineBeforeSend,
        Self::Deadline,
        Self::ServerRefused,
        Self::ServerUnreachable,
        Self::ServerLost,
        Self::WrongAnswer,
        Self::LeaderLost,
        Self::InProgress,
        Self::OutcomeForgotten,
        Self::IdReused,
        Self::AnswerNotKept,
    ];

    /// Name used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownService => "unknown-service",
            Self::UnknownClass => "unknown-class",
            Self::BodyTooLarge => "body-too-large",
            Self::AnswerTooLarge => "answer-too-large",
            Self::ClassRefused => "class-refused",
            Self::NotConfigured => "not-configured",
            Self::Draining => "draining",
            Self::NoLeader => "no-leader",
            Self::NoOwner => "no-owner",
            Self::Moving => "moving",
            Self::Overloaded => "overloaded",
            Self::CallerLimit => "caller-limit",
            Self::DeadlineBeforeSend => "deadline-before-send",
            Self::Deadline => "deadline",
            Self::ServerRefused => "server-refused",
            Self::ServerUnreachable => "server-unreachable",
            Self::ServerLost => "server-lost",
            Self::WrongAnswer => "wrong-answer",
            Self::LeaderLost => "leader-lost",
            Self::InProgress => "in-progress",
            Self::OutcomeForgotten => "outcome-forgotten",
            Self::IdReused => "id-reused",
            Self::AnswerNotKept => "answer-not-kept",
        }
    }

    /// HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownService | Self::UnknownClass => 404,
            Self::InProgress | Self::OutcomeForgotten | Self::IdReused | Self::AnswerNotKept => 409,
            Self::BodyTooLarge => 413,
            Self::CallerLimit => 429,
            Self::AnswerTooLarge
            | Self::ServerLost
            | Self::WrongAnswer
            | Self::LeaderLost
            | Self::ServerUnreachable => 502,
            Self::Deadline | Self::DeadlineBeforeSend => 504,
            Self::ClassRefused
            | Self::NotConfigured
            | Self::Draining
            | Self::NoLeader
            | Self::NoOwner
            | Self::Moving
            | Self::Overloaded
            | Self::ServerRefused => 503,
        }
    }
}

impl Display for RefusalReason {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for RefusalReason {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        Self::ALL
            .into_iter()
            .find(|reason| reason.as_str() == text)
            .ok_or(())
    }
}
