//! Passive health checks of the servers of shared services.
//!
//! Consecutive failures eject a server for a time that doubles with each ejection. After that time
//! the server is probed with one request at a time until it answers one. Ejections are ignored
//! while more than half of a service's servers are ejected, so that a fault of the router itself
//! cannot leave the service without servers.

use crate::prelude::*;

/// Health of the servers that have had failures.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    servers: IndexMap<ServerName, ServerHealth>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerHealth {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<MonoTime>,
}

/// Whether a server may receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// The server may receive requests.
    Healthy,
    /// The ejection time is over, and the server may receive one request at a time.
    Probing,
    /// The server may receive no requests until its ejection time is over.
    Ejected,
}

impl HealthTable {
    /// Consecutive failures that eject a server.
    pub const MAX_FAILURES: u32 = 3;
    /// Duration of the first ejection.
    pub const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
    /// Most doublings of the ejection time.
    const MAX_DOUBLINGS: u32 = 4;

    /// Records that the server answered or refused a request itself, which resets its health.
    pub fn record_response(&mut self, server: &ServerName) {
        if let Some(health) = self.servers.get_mut(server) {
            *health = ServerHealth::default();
        }
    }

    /// Records a request that the server neither answered nor refused.
    pub fn record_failure(&mut self, server: &ServerName, now: MonoTime) {
        let health = self.servers.entry(server.clone()).or_default();
        health.consecutive_failures += 1;
        let is_probing = health.ejected_until.is_some_and(|until| until <= now);
        if is_probing
            || (health.ejected_until.is_none() && health.consecutive_failures >= Self::MAX_FAILURES)
        {
            let doublings = health.ejections.min(Self::MAX_DOUBLINGS);
            health.ejected_until = Some(now.after(Self::BASE_EJECTION_TIME * 2_u32.pow(doublings)));
            health.ejections += 1;
        }
    }

    /// Returns the state of `server` regardless of the other servers.
    pub fn state(&self, server: &ServerName, now: MonoTime) -> HealthState {
        match self
            .servers
            .get(server)
            .and_then(|health| health.ejected_until)
        {
            None => HealthState::Healthy,
            Some(until) if until <= now => HealthState::Probing,
            Some(_) => HealthState::Ejected,
        }
    }

    /// Returns those of `servers` that may receive a request, or all of them while more than half
    /// are ejected.
    pub fn eligible<'a, T>(
        &self,
        servers: &'a [T],
        name: impl Fn(&T) -> &ServerName,
        running: impl Fn(&ServerName) -> u32,
        now: MonoTime,
    ) -> Vec<&'a T> {
        if self.servers.is_empty() {
            return servers.iter().collect();
        }
        let ejected = |server: &&T| self.state(name(server), now) == HealthState::Ejected;
        if servers.iter().filter(ejected).count() * 2 > servers.len() {
            return servers.iter().collect();
        }
        let eligible = |server: &&T| match self.state(name(server), now) {
            HealthState::Healthy => true,
            HealthState::Probing => running(name(server)) == 0,
            HealthState::Ejected => false,
        };
        servers.iter().filter(eligible).collect()
    }
}
