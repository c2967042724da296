//! Queue of the requests that wait for one server.
//!
//! Higher priorities start first, and callers of one priority take turns. One start in eight goes
//! to the lowest waiting priority, so that a steady load of higher priorities does not starve it:
//! its n-th request in turn starts within 8 * n starts.

use crate::prelude::*;

/// Waiting requests, grouped by priority and caller.
#[derive(Clone, Debug, Default)]
pub struct ServerQueue {
    lanes: [PriorityLane; LOWEST_PRIORITY as usize + 1],
    starts_since_lowest: u32,
}

/// Waiting requests of one priority; the first caller is the next to get a turn.
#[derive(Clone, Debug, Default)]
struct PriorityLane {
    callers: IndexMap<String, VecDeque<WaitingRequest>>,
    length: usize,
}

impl ServerQueue {
    /// Number of starts of which one goes to the lowest waiting priority.
    pub const LOWEST_PRIORITY_INTERVAL: u32 = 8;

    /// Appends a request to the queue of its caller and priority.
    pub fn push(&mut self, request: WaitingRequest) {
        let lane = &mut self.lanes[usize::from(request.priority.min(LOWEST_PRIORITY))];
        lane.length += 1;
        let requests = lane.callers.entry(request.caller.clone()).or_default();
        requests.push_back(request);
    }

    /// Removes and returns the request to start next.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let starts = (self.starts_since_lowest + 1) % Self::LOWEST_PRIORITY_INTERVAL;
        let mut waiting = (0..self.lanes.len()).filter(|lane| self.lanes[*lane].length > 0);
        let lane = match starts {
            0 => waiting.next_back(),
            _ => waiting.next(),
        }?;
        self.starts_since_lowest = starts;
        self.lanes[lane].pop()
    }

    /// Removes the request `ticket`; returns false when it is not in the queue.
    pub fn remove(&mut self, ticket: u64) -> bool {
        self.lanes.iter_mut().any(|lane| lane.remove(ticket))
    }

    /// Returns the number of requests that wait at `priority` or a higher one.
    pub fn waiting_at_or_above(&self, priority: u8) -> usize {
        let lanes = &self.lanes[..=usize::from(priority.min(LOWEST_PRIORITY))];
        lanes.iter().map(|lane| lane.length).sum()
    }

    /// Returns the number of requests of `caller` that wait at `priority`.
    pub fn waiting_of_caller(&self, caller: &str, priority: u8) -> usize {
        let lane = &self.lanes[usize::from(priority.min(LOWEST_PRIORITY))];
        lane.callers.get(caller).map_or(0, VecDeque::len)
    }

    /// Returns how many waiting requests start before a new one of `caller` at `priority`, when
    /// higher priorities go first and callers take turns.
    pub fn starts_before(&self, caller: &str, priority: u8) -> usize {
        let priority = priority.min(LOWEST_PRIORITY);
        let lane = &self.lanes[usize::from(priority)];
        let rounds = self.waiting_of_caller(caller, priority) + 1;
        let before_in_lane: usize = lane
            .callers
            .values()
            .map(|requests| requests.len().min(rounds))
            .sum();
        self.waiting_at_or_above(priority) - lane.length + before_in_lane
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting_at_or_above(LOWEST_PRIORITY)
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl PriorityLane {
    fn pop(&mut self) -> Option<WaitingRequest> {
        let (caller, mut requests) = self.callers.shift_remove_index(0)?;
        let request = requests.pop_front()?;
        self.length -= 1;
        if !requests.is_empty() {
            self.callers.insert(caller, requests);
        }
        Some(request)
    }

    fn remove(&mut self, ticket: u64) -> bool {
        let location = self.callers.iter().enumerate().find_map(|(index, entry)| {
            let position = entry.1.iter().position(|request| request.ticket == ticket);
            position.map(|position| (index, position))
        });
        let Some((index, position)) = location else {
            return false;
        };
        let requests = &mut self.callers[index];
        requests.remove(position);
        self.length -= 1;
        if requests.is_empty() {
            self.callers.shift_remove_index(index);
        }
        true
    }
}
