//! Smooth weighted round robin over the services of a route.
//!
//! With each request, every service gets credit in proportion to its weight, and the service with
//! the highest credit takes the request. The shares therefore hold even over few requests. Each
//! instance starts at its own offset; otherwise all would start with the same service.

use crate::prelude::*;

/// Credit of each service of one route.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    offset: f64,
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Distance between the initial credits of services: the fractional part of the golden ratio,
    /// which spreads them evenly.
    const INITIAL_STEP: f64 = 0.618_033_988_749_895;

    /// Creates a round robin that starts at `offset`, from 0 to 1.
    pub fn new(offset: f64) -> Self {
        Self {
            offset,
            credits: Vec::new(),
        }
    }

    /// Returns the service that takes the next request, `None` if none has a positive weight.
    pub fn next_service<'a>(&mut self, services: &'a [WeightedService]) -> Option<&'a str> {
        let total: f64 = services.iter().map(|service| service.weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        if self.credits.len() != services.len() {
            let offset = self.offset;
            let initial_credit =
                |number: usize| (offset + number as f64 * Self::INITIAL_STEP).fract() - 0.5;
            self.credits = (0..services.len()).map(initial_credit).collect();
        }
        let mut next = None;
        for (position, service) in services.iter().enumerate() {
            if service.weight <= 0.0 {
                continue;
            }
            self.credits[position] += service.weight / total;
            if next.is_none_or(|best: usize| self.credits[position] > self.credits[best]) {
                next = Some(position);
            }
        }
        let next = next?;
        self.credits[next] -= 1.0;
        Some(&services[next].service)
    }
}
