//! Selects the server that a request is sent to.
//!
//! The server with the earliest expected completion is chosen among those with a short queue. The
//! queue is limited because servers of some services never answer requests that they cannot queue,
//! and several instances fill the same queue without knowing of each other's requests.
//!
//! Many instances may read the same reported speed of a server's machine at the same time. Of the
//! servers with such a report, each request considers only a few drawn at random, so that the
//! fastest one does not get the requests of all.

use crate::prelude::*;

/// Server that a request could be sent to.
#[derive(Clone, Copy, Debug)]
pub struct ServerCandidate<'a> {
    /// Load of the server.
    pub load: &'a LoadTracker,
    /// Whether the server runs in this instance's data centre.
    pub is_local: bool,
    /// Whether this request has already been sent to the server.
    pub was_tried: bool,
    /// Whether the server is still slow after its start.
    pub is_warming_up: bool,
}

/// Outcome of the selection for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionOutcome {
    /// Send the request to the candidate at this position.
    Send(usize),
    /// Wait until a server has room.
    Wait,
    /// Refuse the request: every server has been tried, is ejected or wants no requests.
    Refuse,
}

/// A candidate that can take the request.
#[derive(Clone, Copy)]
struct AvailableServer {
    /// Whether it is expected to complete the request after its deadline.
    is_too_slow: bool,
    cost: f64,
    position: usize,
    /// Whether the cost depends on a recent report of the speed of its machine.
    has_speed: bool,
}

/// Parameters of the selection.
#[derive(Clone, Copy, Debug)]
pub struct ServerSelector {
    /// Highest number of requests at a server, as a multiple of its slots.
    pub max_occupancy: f64,
    /// Time added to the cost of a server in another data centre, in seconds.
    pub remote_penalty: f64,
    /// Assumptions about servers without a recent report.
    pub assumptions: LoadAssumptions,
    /// Time until the target latency is exceeded, in seconds. A server without a free slot that is
    /// expected to take longer gets no request.
    pub target_left: f64,
    /// Time until the deadline, in seconds. A server that is expected to take longer comes last.
    pub time_left: f64,
}

impl Default for ServerSelector {
    fn default() -> Self {
        Self {
            max_occupancy: 1.7,
            remote_penalty: 0.02,
            assumptions: LoadAssumptions::default(),
            target_left: f64::INFINITY,
            time_left: f64::INFINITY,
        }
    }
}

impl ServerSelector {
    /// Factor on the expected completion time of a server that is warming up.
    const WARM_UP_FACTOR: f64 = 1.6;
    /// Random share added to the expected completion time, so that instances choose differently
    /// among similar servers.
    const MAX_JITTER: f64 = 0.1;
    /// Number of servers with a recently reported speed that a request considers; at most about half
    /// of them, but two in any case.
    const DRAWN_SERVERS: usize = 4;

    /// Selects the server for one request; `draw` returns random numbers from 0 to 1.
    pub fn choose(
        &self,
        candidates: &[ServerCandidate<'_>],
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> SelectionOutcome {
        let mut available = Vec::with_capacity(candidates.len());
        let mut is_any_full = false;
        for (position, candidate) in candidates.iter().enumerate() {
            let rests = !candidate.load.rest_left(now).is_zero();
            if candidate.was_tried || rests || candidate.load.is_ejected(now) {
                continue;
            }
            let expected = self.reported_completion(candidate.load, now);
            let is_late = expected > self.target_left && self.is_full(candidate.load, now);
            if is_late || !self.has_room(candidate.load, now) {
                is_any_full = true;
                continue;
            }
            let warm_up_factor = if candidate.is_warming_up {
                Self::WARM_UP_FACTOR
            } else {
                1.0
            };
            let remote_penalty = if candidate.is_local {
                0.0
            } else {
                self.remote_penalty
            };
            let run_time_factor = candidate.load.run_time_factor(now);
            let cost = candidate.load.expected_completion(now, self.assumptions)
                * run_time_factor.unwrap_or(1.0)
                * warm_up_factor
                * (1.0 + Self::MAX_JITTER * draw())
                + remote_penalty;
            available.push(AvailableServer {
                is_too_slow: expected > self.time_left,
                cost,
                position,
                has_speed: run_time_factor.is_some(),
            });
        }
        Self::drop_undrawn(&mut available, draw);
        let is_better = |one: &AvailableServer, other: &AvailableServer| {
            (one.is_too_slow, one.cost) < (other.is_too_slow, other.cost)
        };
        let best = available
            .into_iter()
            .reduce(|best, next| if is_better(&next, &best) { next } else { best });
        match best {
            Some(best) if best.is_too_slow && is_any_full => SelectionOutcome::Wait,
            Some(best) => SelectionOutcome::Send(best.position),
            None if is_any_full => SelectionOutcome::Wait,
            None => SelectionOutcome::Refuse,
        }
    }

    /// Drops servers with a reported speed, except for a few drawn at random among those that are
    /// expected to complete the request in time.
    fn drop_undrawn(available: &mut Vec<AvailableServer>, mut draw: impl FnMut() -> f64) {
        let is_drawn = |server: &AvailableServer| server.has_speed && !server.is_too_slow;
        let mut drawn: Vec<AvailableServer> = available
            .extract_if(.., |server| is_drawn(server))
            .collect();
        let count = drawn.len().div_ceil(2).clamp(2, Self::DRAWN_SERVERS);
        while drawn.len() > count {
            let position = (draw() * drawn.len() as f64) as usize;
            drawn.swap_remove(position.min(drawn.len() - 1));
        }
        available.extend(drawn);
    }

    /// Expected time until another request would complete, in seconds, by the server's own reports.
    pub fn reported_completion(&self, load: &LoadTracker, now: MonoTime) -> f64 {
        load.expected_completion(now, self.assumptions.reported_only())
    }

    /// Whether the server has no free slot, by its own reports.
    pub fn is_full(&self, load: &LoadTracker, now: MonoTime) -> bool {
        load.estimated_requests(now, self.assumptions.reported_only()) >= f64::from(load.slots())
    }

    /// Whether another request may be sent to the server.
    pub fn has_room(&self, load: &LoadTracker, now: MonoTime) -> bool {
        load.estimated_requests(now, self.assumptions.reported_only()) + 1.0
            <= (f64::from(load.slots()) * self.max_occupancy).max(1.0)
    }
}
