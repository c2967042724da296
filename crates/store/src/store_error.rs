//! Failures of calls to the store.

use crate::prelude::*;

/// Why a call to the store gave no result.
#[derive(Debug)]
pub enum StoreError {
    /// The call did not take effect.
    Unavailable(String),
    /// The call may have taken effect.
    Unclear(String),
    /// The store answered with something unreadable.
    Malformed(String),
}

impl Display for StoreError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Unavailable(cause) => write!(f, "store unavailable: {cause}"),
            Self::Unclear(cause) => write!(f, "store gave no answer: {cause}"),
            Self::Malformed(cause) => write!(f, "store answered unreadably: {cause}"),
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
            ExchangeError::Unclear(cause) => Self::Unclear(cause),
            error => Self::Unclear(error.to_string()),
        }
    }
}
