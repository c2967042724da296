//! Weighted choice among the parts of a route.
//!
//! Draws from a low-discrepancy sequence, so that shares hold over short spans already. Each
//! instance starts at an offset of its own, else all would begin with the same part.

use crate::prelude::*;

/// Position in the sequence of one route.
#[derive(Clone, Copy, Debug)]
pub struct SplitCursor(f64);

impl SplitCursor {
    /// Step of the sequence: the fractional part of the golden ratio.
    const STEP: f64 = 0.618_033_988_749_895;

    /// Starts at `offset`, from 0 to 1.
    pub fn new(offset: f64) -> Self {
        Self(offset.fract().abs())
    }

    /// Service that takes the next request, none without a part of positive weight.
    pub fn next<'a>(&mut self, parts: &'a [SplitPart]) -> Option<&'a str> {
        if let [part] = parts {
            return Some(&part.service);
        }
        let total: f64 = parts.iter().map(|part| part.weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        self.0 = (self.0 + Self::STEP).fract();
        let mut left = self.0 * total;
        for part in parts {
            left -= part.weight.max(0.0);
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        parts.last().map(|part| part.service.as_str())
    }
}
