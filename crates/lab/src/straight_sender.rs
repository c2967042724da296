//! Sending straight to servers, without instances: the naive baseline and the reference for added
//! latency.

use crate::prelude::*;

/// Chooses a server for each request.
pub(crate) struct StraightSender {
    servers: IndexMap<String, Vec<SocketAddr>>,
    choice: StraightChoice,
    in_flight: Mutex<IndexMap<SocketAddr, u32>>,
}

/// How a server is chosen.
pub(crate) enum StraightChoice {
    /// By the key's hash, whatever the load.
    Naive,
    /// The owner on record, or for shared services the one with the least in flight.
    Owners(Vec<PartRecord>),
}

/// A request in flight; counted until dropped.
pub(crate) struct StraightGuard<'a>(&'a StraightSender, SocketAddr);

impl Drop for StraightGuard<'_> {
    fn drop(&mut self) {
        *self.0.in_flight.lock().unwrap().entry(self.1).or_default() -= 1;
    }
}

impl StraightSender {
    /// Sender to `servers`, by service in the order of their numbers.
    pub(crate) fn new(servers: IndexMap<String, Vec<SocketAddr>>, choice: StraightChoice) -> Self {
        Self {
            servers,
            choice,
            in_flight: Mutex::default(),
        }
    }

    /// Server for a request.
    pub(crate) fn address(&self, call: &ScheduledCall) -> Option<SocketAddr> {
        let servers = self.servers.get(call.service)?;
        let hash = KeyHash::of(&call.key);
        let records = match &self.choice {
            StraightChoice::Naive => return servers.get(hash.0 as usize % servers.len()).copied(),
            StraightChoice::Owners(records) => records,
        };
        let owner = records
            .iter()
            .filter(|record| record.id.service.as_str() == call.service)
            .find_map(|record| record.slice_of(hash)?.owner.clone());
        let number = owner.and_then(|name| name.as_str().rsplit('-').next()?.parse::<usize>().ok());
        if let Some(address) = number.and_then(|number| servers.get(number)) {
            return Some(*address);
        }
        let in_flight = self.in_flight.lock().unwrap();
        let load = |address: &&SocketAddr| in_flight.get(*address).copied().unwrap_or(0);
        servers.iter().min_by_key(load).copied()
    }

    /// Counts a request to `address`.
    pub(crate) fn count(&self, address: SocketAddr) -> StraightGuard<'_> {
        *self.in_flight.lock().unwrap().entry(address).or_default() += 1;
        StraightGuard(self, address)
    }
}
