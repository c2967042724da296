//! A key with a large share of the requests of a part.

use crate::prelude::*;

/// Frequent key, with its share of the requests of its part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HotKey {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Share of the requests, from 0 to 1; too low by at most the error of [`KeySketch`].
    pub share: f64,
}
