//! Admission of requests to the slots of servers.
//!
//! The leader of a part counts every request that it has sent to a server and not seen ended, so
//! that a server never holds more than its slots.

use crate::prelude::*;

/// Slots and waiting requests of each server of a part.
#[derive(Clone, Debug, Default)]
pub struct AdmissionTable {
    servers: IndexMap<ServerName, ServerQueue>,
}

/// Requests that a server may hold at once and that may wait for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimit {
    /// Requests running at once.
    pub slots: u32,
    /// Requests waiting.
    pub queue: usize,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// Send it now; a slot is taken.
    Start,
    /// Wait until the ticket is called.
    Wait,
    /// Refuse it.
    Refuse(RefusalReason),
}

#[derive(Clone, Debug, Default)]
struct ServerQueue {
    running: u32,
    waiting: VecDeque<u64>,
}

impl AdmissionTable {
    /// Asks for a slot for the request `ticket`.
    pub fn admit(&mut self, server: &ServerName, ticket: u64, limit: SlotLimit) -> AdmissionStep {
        let queue = self.servers.entry(server.clone()).or_default();
        if queue.running < limit.slots && queue.waiting.is_empty() {
            queue.running += 1;
            return AdmissionStep::Start;
        }
        if queue.waiting.len() >= limit.queue {
            return AdmissionStep::Refuse(RefusalReason::Overloaded);
        }
        queue.waiting.push_back(ticket);
        AdmissionStep::Wait
    }

    /// Gives a slot back; returns the ticket that takes it over.
    pub fn finish(&mut self, server: &ServerName, limit: SlotLimit) -> Option<u64> {
        let queue = self.servers.get_mut(server)?;
        queue.running = queue.running.saturating_sub(1);
        if queue.running >= limit.slots {
            return None;
        }
        let ticket = queue.waiting.pop_front()?;
        queue.running += 1;
        Some(ticket)
    }

    /// Takes a waiting request out; false when it already holds a slot.
    pub fn abandon(&mut self, server: &ServerName, ticket: u64) -> bool {
        let Some(queue) = self.servers.get_mut(server) else {
            return false;
        };
        let before = queue.waiting.len();
        queue.waiting.retain(|waiting| *waiting != ticket);
        queue.waiting.len() < before
    }

    /// Requests running at `server`.
    pub fn running(&self, server: &ServerName) -> u32 {
        self.servers.get(server).map_or(0, |queue| queue.running)
    }
}
