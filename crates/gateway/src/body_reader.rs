//! Reads the bodies of callers' requests.

use crate::prelude::*;
use http_body_util::{LengthLimitError, Limited};
use hyper::body::Incoming;

/// Why a request body was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body is longer than the configuration allows.
    TooLarge,
    /// The body ended early or is malformed.
    Unreadable,
}

/// Reads a complete body of at most `max_bytes`.
pub(crate) async fn read(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Unreadable),
    }
}
