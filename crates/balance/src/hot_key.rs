//! A key that draws much of a part's load.

use crate::prelude::*;

/// A key's share of the requests of its part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HotKey {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Share of the part's requests, from 0 to 1, underestimated by at most the sketch's error.
    pub share: f64,
}
