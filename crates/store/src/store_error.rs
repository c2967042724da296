//! Errors of calls to the store.

use crate::prelude::*;

/// Error of a call to the store.
#[derive(Debug)]
pub enum StoreError {
    /// The call failed and did not take effect.
    Unavailable(String),
    /// The outcome is unknown: the call may have taken effect.
    Unclear(String),
    /// A value could not be encoded, or the store's response could not be decoded.
    Malformed(String),
}

impl Display for StoreError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Unavailable(cause) => write!(f, "store unavailable: {cause}"),
            Self::Unclear(cause) => write!(f, "store gave no answer: {cause}"),
            Self::Malformed(cause) => write!(f, "invalid store data: {cause}"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<ExchangeError> for StoreError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::ConnectionRefused(cause) | ExchangeError::NotSent(cause) => {
                Self::Unavailable(cause)
            }
            ExchangeError::Unclear(cause) | ExchangeError::ConnectionLost(cause) => {
                Self::Unclear(cause)
            }
            error => Self::Unclear(error.to_string()),
        }
    }
}
