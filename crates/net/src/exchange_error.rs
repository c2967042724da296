//! Failures of HTTP exchanges.

use crate::prelude::*;

/// Why an HTTP exchange gave no complete answer, by what the other side may have received.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection was refused: no process listens at the address.
    ConnectionRefused(String),
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have arrived; what came is no answer to it.
    Unclear(String),
    /// The request may have arrived; the connection ended before the answer was complete.
    ConnectionLost(String),
    /// The request may have arrived; no complete answer came within the timeout.
    TimedOut,
    /// The other side answered with these headers and a body larger than the limit.
    AnswerTooLarge(Box<http::HeaderMap>),
}

impl Display for ExchangeError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::ConnectionRefused(cause) => write!(f, "connection refused: {cause}"),
            Self::NotSent(cause) => write!(f, "request not sent: {cause}"),
            Self::Unclear(cause) => write!(f, "no complete answer: {cause}"),
            Self::ConnectionLost(cause) => write!(f, "no complete answer: {cause}"),
            Self::TimedOut => write!(f, "no complete answer within the timeout"),
            Self::AnswerTooLarge(_) => write!(f, "answer too large"),
        }
    }
}

impl std::error::Error for ExchangeError {}
