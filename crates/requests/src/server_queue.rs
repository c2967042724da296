//! Requests that wait for one server.
//!
//! Priorities are served in their order, callers of one priority in turn. Every eighth start goes to
//! the lowest priority that waits, so that none starves: a request of any priority starts after at
//! most eight times as many starts as its own priority has waiting before it.

use crate::prelude::*;

/// Waiting requests by priority and caller.
#[derive(Clone, Debug, Default)]
pub struct ServerQueue {
    lanes: [CallerLanes; LOWEST_PRIORITY as usize + 1],
    starts: u32,
}

#[derive(Clone, Debug, Default)]
struct CallerLanes {
    callers: IndexMap<String, VecDeque<WaitingRequest>>,
    length: usize,
}

impl ServerQueue {
    /// Starts of which one goes to the lowest priority that waits.
    pub const STARVATION_STARTS: u32 = 8;

    /// Puts a request at the end of its caller's line.
    pub fn push(&mut self, request: WaitingRequest) {
        let lane = &mut self.lanes[usize::from(request.priority.min(LOWEST_PRIORITY))];
        lane.length += 1;
        let line = lane.callers.entry(request.caller.clone()).or_default();
        line.push_back(request);
    }

    /// Takes out the request to start next.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let turn = (self.starts + 1) % Self::STARVATION_STARTS;
        let mut waiting = (0..self.lanes.len()).filter(|lane| self.lanes[*lane].length > 0);
        let lane = match turn {
            0 => waiting.next_back(),
            _ => waiting.next(),
        }?;
        self.starts = turn;
        self.lanes[lane].pop()
    }

    /// Takes out the request `ticket`; false when it does not wait.
    pub fn remove(&mut self, ticket: u64) -> bool {
        self.lanes.iter_mut().any(|lane| lane.remove(ticket))
    }

    /// Requests that wait at `priority` or before it.
    pub fn ahead_of(&self, priority: u8) -> usize {
        let lanes = &self.lanes[..=usize::from(priority.min(LOWEST_PRIORITY))];
        lanes.iter().map(|lane| lane.length).sum()
    }

    /// Requests of `caller` that wait at `priority`.
    pub fn share_of(&self, caller: &str, priority: u8) -> usize {
        let lane = &self.lanes[usize::from(priority.min(LOWEST_PRIORITY))];
        lane.callers.get(caller).map_or(0, VecDeque::len)
    }

    /// Requests that start before the next one of `caller` at `priority`, as callers take turns.
    pub fn turn_of(&self, caller: &str, priority: u8) -> usize {
        let priority = priority.min(LOWEST_PRIORITY);
        let lane = &self.lanes[usize::from(priority)];
        let rounds = self.share_of(caller, priority) + 1;
        let before: usize = lane
            .callers
            .values()
            .map(|line| line.len().min(rounds))
            .sum();
        self.ahead_of(priority) - lane.length + before
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.ahead_of(LOWEST_PRIORITY)
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl CallerLanes {
    fn pop(&mut self) -> Option<WaitingRequest> {
        let (caller, mut line) = self.callers.shift_remove_index(0)?;
        let request = line.pop_front()?;
        self.length -= 1;
        if !line.is_empty() {
            self.callers.insert(caller, line);
        }
        Some(request)
    }

    fn remove(&mut self, ticket: u64) -> bool {
        let place = self.callers.iter().enumerate().find_map(|(index, line)| {
            let position = line.1.iter().position(|request| request.ticket == ticket);
            position.map(|position| (index, position))
        });
        let Some((index, position)) = place else {
            return false;
        };
        let line = &mut self.callers[index];
        line.remove(position);
        self.length -= 1;
        if line.is_empty() {
            self.callers.shift_remove_index(index);
        }
        true
    }
}
