//! Refusals on the operators' port.

use crate::prelude::*;

/// Why an operator's call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperatorError {
    /// No such path.
    NotFound,
    /// The path exists, the method is another one.
    WrongMethod,
    /// The token is missing or wrong.
    Unauthorised,
    /// A query field is missing or unreadable.
    BadQuery,
    /// The service or part is not known here.
    UnknownPlace,
}

impl OperatorError {
    /// Name in the answer's body.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotFound => "not-found",
            Self::WrongMethod => "wrong-method",
            Self::Unauthorised => "unauthorised",
            Self::BadQuery => "bad-query",
            Self::UnknownPlace => "unknown-place",
        }
    }

    /// HTTP status of the answer.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NotFound | Self::UnknownPlace => StatusCode::NOT_FOUND,
            Self::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::BadQuery => StatusCode::BAD_REQUEST,
        }
    }
}
