//! Passive health of the servers of shared services.
//!
//! Failures in a row eject a server for a time that doubles with each ejection. A floor keeps at
//! least half of a service's servers eligible, so that a fault of our own can't empty it. After the
//! time one request at a time tries the server, until one is answered.

use crate::prelude::*;

/// Health of each server.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    servers: IndexMap<ServerName, ServerHealth>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<MonoTime>,
}

/// Whether a server may be sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// It may.
    Healthy,
    /// One request at a time, to find out.
    Trial,
    /// Not now.
    Ejected,
}

impl HealthTable {
    /// Failures in a row that eject a server.
    pub const FAILURES: u32 = 3;
    /// Time of a first ejection.
    pub const EJECTION: Duration = Duration::from_millis(500);
    /// Most doublings of that time.
    const MAX_DOUBLINGS: u32 = 4;

    /// Notes an answer or a refusal of the server's own.
    pub fn record_response(&mut self, server: &ServerName) {
        if let Some(health) = self.servers.get_mut(server) {
            *health = ServerHealth::default();
        }
    }

    /// Notes an exchange that failed.
    pub fn record_failure(&mut self, server: &ServerName, now: MonoTime) {
        let health = self.servers.entry(server.clone()).or_default();
        health.failures += 1;
        let trial = health.ejected_until.is_some_and(|until| until <= now);
        if trial || (health.ejected_until.is_none() && health.failures >= Self::FAILURES) {
            let doublings = health.ejections.min(Self::MAX_DOUBLINGS);
            health.ejected_until = Some(now.after(Self::EJECTION * 2_u32.pow(doublings)));
            health.ejections += 1;
        }
    }

    /// State of `server` by itself.
    pub fn state(&self, server: &ServerName, now: MonoTime) -> HealthState {
        match self
            .servers
            .get(server)
            .and_then(|health| health.ejected_until)
        {
            None => HealthState::Healthy,
            Some(until) if until <= now => HealthState::Trial,
            Some(_) => HealthState::Ejected,
        }
    }

    /// Those of `servers` that may be sent a request; all while more than half are ejected.
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
            HealthState::Trial => running(name(server)) == 0,
            HealthState::Ejected => false,
        };
        servers.iter().filter(eligible).collect()
    }
}
