//! Choice of the server that a request goes to.
//!
//! The server with the least expected completion time, as long as its queue is short: servers of
//! some services never answer what they cannot queue, and several instances fill the same queue
//! without seeing each other.

use crate::prelude::*;

/// One candidate.
#[derive(Clone, Copy, Debug)]
pub struct ServerCandidate<'a> {
    /// Load of the server.
    pub load: &'a LoadTracker,
    /// Whether it stands in this instance's data centre.
    pub is_local: bool,
    /// Whether this request was sent there before.
    pub was_tried: bool,
    /// Whether it is slow since it has just started.
    pub is_warming_up: bool,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionOutcome {
    /// Send it to the candidate at this position.
    Send(usize),
    /// Wait until a slot is free.
    Wait,
    /// No server can take it.
    Refuse,
}

/// Rules of choice.
#[derive(Clone, Copy, Debug)]
pub struct ServerSelector {
    /// Requests at a server, as a multiple of its slots, beyond which nothing is sent.
    pub max_occupancy: f64,
    /// Extra time of a server in another data centre, in seconds.
    pub remote_penalty: f64,
    /// What is taken for granted of servers that have told nothing lately.
    pub assumptions: LoadAssumptions,
}

impl Default for ServerSelector {
    fn default() -> Self {
        Self {
            max_occupancy: 1.7,
            remote_penalty: 0.02,
            assumptions: LoadAssumptions::default(),
        }
    }
}

impl ServerSelector {
    /// Factor on the expected time at a server that has just started.
    const COLD_FACTOR: f64 = 1.6;
    /// Share of the expected time by which `draw` spreads instances over like servers.
    const SPREAD: f64 = 0.1;

    /// Decides on one request; `draw` gives numbers from 0 to 1.
    pub fn choose(
        &self,
        inputs: &[ServerCandidate<'_>],
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> SelectionOutcome {
        let mut best: Option<(f64, usize)> = None;
        let mut busy = false;
        for (position, input) in inputs.iter().enumerate() {
            if input.was_tried || input.load.is_ejected(now) {
                continue;
            }
            if !self.has_room(input.load, now) {
                busy = true;
                continue;
            }
            let cold = if input.is_warming_up {
                Self::COLD_FACTOR
            } else {
                1.0
            };
            let far = if input.is_local {
                0.0
            } else {
                self.remote_penalty
            };
            let cost = input.load.expected_completion(now, self.assumptions)
                * cold
                * (1.0 + Self::SPREAD * draw())
                + far;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, position));
            }
        }
        match best {
            Some((_, position)) => SelectionOutcome::Send(position),
            None if busy => SelectionOutcome::Wait,
            None => SelectionOutcome::Refuse,
        }
    }

    /// Whether a server may be sent another request.
    pub fn has_room(&self, load: &LoadTracker, now: MonoTime) -> bool {
        load.estimated_requests(now, self.assumptions.reported_only()) + 1.0
            <= (f64::from(load.slots()) * self.max_occupancy).max(1.0)
    }
}
