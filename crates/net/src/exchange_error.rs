//! Why an HTTP exchange gave no whole answer.

use crate::prelude::*;

/// Failure of an exchange, by what the other side may have seen.
#[derive(Debug)]
pub enum ExchangeError {
    /// Nothing listens at the address.
    ConnectionRefused(String),
    /// No byte of the request left.
    NotSent(String),
    /// The request may have arrived; its answer did not, or not whole.
    Unclear(String),
    /// The request may have arrived; no whole answer came in time.
    TimedOut,
    /// The other side answered with this head and a body beyond the bound.
    AnswerTooLarge(Box<http::HeaderMap>),
}

impl Display for ExchangeError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::ConnectionRefused(cause) => write!(f, "nothing listens: {cause}"),
            Self::NotSent(cause) => write!(f, "request not sent: {cause}"),
            Self::Unclear(cause) => write!(f, "no whole answer: {cause}"),
            Self::TimedOut => write!(f, "no whole answer in time"),
            Self::AnswerTooLarge(_) => write!(f, "answer too large"),
        }
    }
}

impl std::error::Error for ExchangeError {}
