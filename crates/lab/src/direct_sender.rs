//! Sender that bypasses instances, for baselines and for the reference of added latency.

use crate::prelude::*;

/// Selects a server for each request and counts the requests in flight.
pub(crate) struct DirectSender {
    servers: IndexMap<String, Vec<SocketAddr>>,
    selection: ServerSelection,
    in_flight: Mutex<IndexMap<SocketAddr, u32>>,
}

/// Rule by which a server is selected.
pub(crate) enum ServerSelection {
    /// The key's hash alone, regardless of load.
    ByKeyHash,
    /// The recorded owner; without one, the server with the fewest requests in flight.
    ByOwner(Vec<PartRecord>),
}

/// Request in flight; it is counted until dropped.
pub(crate) struct InFlightGuard<'a>(&'a DirectSender, SocketAddr);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        *self.0.in_flight.lock().unwrap().entry(self.1).or_default() -= 1;
    }
}

impl DirectSender {
    /// Creates a sender to `servers`, listed by service in the order of their numbers.
    pub(crate) fn new(
        servers: IndexMap<String, Vec<SocketAddr>>,
        selection: ServerSelection,
    ) -> Self {
        Self {
            servers,
            selection,
            in_flight: Mutex::default(),
        }
    }

    /// Address of the server for a request.
    pub(crate) fn select_address(&self, call: &ScheduledCall) -> Option<SocketAddr> {
        let servers = self.servers.get(call.service)?;
        let hash = KeyHash::of(&call.key);
        let records = match &self.selection {
            ServerSelection::ByKeyHash => {
                return servers.get(hash.0 as usize % servers.len()).copied();
            }
            ServerSelection::ByOwner(records) => records,
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

    /// Counts a request to `address` as in flight until the guard is dropped.
    pub(crate) fn count_in_flight(&self, address: SocketAddr) -> InFlightGuard<'_> {
        *self.in_flight.lock().unwrap().entry(address).or_default() += 1;
        InFlightGuard(self, address)
    }
}
