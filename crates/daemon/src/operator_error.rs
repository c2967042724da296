//! Errors of the operators' interface.

use crate::prelude::*;

/// Why an operator's request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperatorError {
    /// The path does not exist.
    NotFound,
    /// The path exists but needs another method.
    WrongMethod,
    /// The bearer token is missing or wrong.
    Unauthorised,
    /// A query parameter is missing or malformed.
    BadQuery,
    /// The service or part is not known to this instance.
    UnknownPart,
}

impl OperatorError {
    /// Value of `error` in the answer's body.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotFound => "not-found",
            Self::WrongMethod => "wrong-method",
            Self::Unauthorised => "unauthorised",
            Self::BadQuery => "bad-query",
            Self::UnknownPart => "unknown-place",
        }
    }

    /// HTTP status of the answer.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NotFound | Self::UnknownPart => StatusCode::NOT_FOUND,
            Self::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::BadQuery => StatusCode::BAD_REQUEST,
        }
    }
}
