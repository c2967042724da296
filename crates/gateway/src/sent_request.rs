//! Requests as a connection remembers them.
//!
//! A server may send a second copy of an answer where the next one is expected. The copy names the
//! request that it belongs to, so it is recognised in the answer to any other request, but not in the
//! answer to a later attempt of the same one. A connection therefore carries each request once.

use crate::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a request's identifier; requests without one count as the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentRequest(Option<u64>);

impl From<&RequestHeaders> for SentRequest {
    fn from(headers: &RequestHeaders) -> Self {
        let id = headers.request_id.as_ref();
        Self(id.map(|id| xxh3_64(id.as_bytes())))
    }
}
