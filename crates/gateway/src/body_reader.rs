//! Reading of callers' bodies.

use crate::prelude::*;
use http_body_util::{LengthLimitError, Limited};
use hyper::body::Incoming;

/// Why a body could not be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyRefusal {
    /// It is longer than the configuration allows.
    TooLarge,
    /// It ended early or cannot be read.
    Broken,
}

/// Reads a body whole.
pub(crate) async fn read(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyRefusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyRefusal::TooLarge),
        Err(_) => Err(BodyRefusal::Broken),
    }
}
