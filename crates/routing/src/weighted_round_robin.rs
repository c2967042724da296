//! Weighted choice among the parts of a route.
//!
//! Each part earns its share of every request and the one that is owed most takes it, so that
//! shares hold over short spans already. Each instance starts at an offset of its own, else all
//! would begin with the same part.

use crate::prelude::*;

/// What each part of one route is owed.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    offset: f64,
    owed: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Spreads the first debts of parts, the fractional part of the golden ratio.
    const STEP: f64 = 0.618_033_988_749_895;

    /// Starts at `offset`, from 0 to 1.
    pub fn new(offset: f64) -> Self {
        Self {
            offset,
            owed: Vec::new(),
        }
    }

    /// Service that takes the next request, none without a part of positive weight.
    pub fn next_service<'a>(&mut self, parts: &'a [WeightedService]) -> Option<&'a str> {
        let total: f64 = parts.iter().map(|part| part.weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        if self.owed.len() != parts.len() {
            let offset = self.offset;
            let first = |number: usize| (offset + number as f64 * Self::STEP).fract() - 0.5;
            self.owed = (0..parts.len()).map(first).collect();
        }
        let mut next = None;
        for (position, part) in parts.iter().enumerate() {
            if part.weight <= 0.0 {
                continue;
            }
            self.owed[position] += part.weight / total;
            if next.is_none_or(|best: usize| self.owed[position] > self.owed[best]) {
                next = Some(position);
            }
        }
        let next = next?;
        self.owed[next] -= 1.0;
        Some(&parts[next].service)
    }
}
