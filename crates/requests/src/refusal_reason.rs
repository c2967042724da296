//! Reasons for refusals that callers see.

use crate::prelude::*;

/// Reason why a caller gets a refusal instead of an answer from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// The service is not declared.
    UnknownService,
    /// No class of the service matches the request.
    UnknownClass,
    /// The request's body exceeds the size limit of its class.
    BodyTooLarge,
    /// The server's answer exceeds the size limit of the request's class.
    AnswerTooLarge,
    /// The active preset refuses requests of the class.
    ClassRefused,
    /// The instance has not read a configuration yet, or has lost contact with the store and its
    /// peers.
    NotConfigured,
    /// The instance is stopping.
    Draining,
    /// No instance leads the key's part.
    NoLeader,
    /// No server owns the key.
    NoOwner,
    /// The key is moving between servers.
    Moving,
    /// All slots are occupied, and the queue is full or its expected wait too long.
    Overloaded,
    /// The caller already has its share of the queue's places.
    CallerLimit,
    /// The deadline passed, or was expected to pass, before the request could be sent and answered.
    DeadlineBeforeSend,
    /// The deadline passed after the request was sent and before it was answered.
    Deadline,
    /// The server refused the request.
    ServerRefused,
    /// The request could not be sent to the server.
    ServerUnreachable,
    /// The connection ended before the complete answer arrived.
    ServerLost,
    /// The answer does not belong to the request.
    WrongAnswer,
    /// Contact with the part's leader was lost after the request was forwarded to it.
    LeaderLost,
    /// A request with the same id is still running.
    InProgress,
    /// The id may have been used before, and the outcome of that request is not known.
    OutcomeForgotten,
    /// A different request used the same id before.
    IdReused,
    /// The request ran, but its answer is not recorded.
    AnswerNotKept,
}

impl RefusalReason {
    /// All reasons, in the order of declaration.
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

    /// Returns the name used in headers and bodies.
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

    /// Returns the HTTP status of the refusal.
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
