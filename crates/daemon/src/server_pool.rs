//! Sessions with servers.

use crate::prelude::*;

/// One session per server address.
#[derive(Default)]
pub(crate) struct ServerPool {
    sessions: Mutex<IndexMap<SocketAddr, Arc<ServerSession>>>,
    health: Mutex<HealthTable>,
    budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
}

impl ServerPool {
    /// Session with a declared server.
    pub(crate) fn session(
        &self,
        node: &InstanceNode,
        server: &ServerDeclaration,
    ) -> Arc<ServerSession> {
        self.sessions
            .lock()
            .unwrap()
            .entry(server.address)
            .or_insert_with(|| Arc::new(ServerSession::new(node, server)))
            .clone()
    }

    /// Names of those of `servers` that may be sent a request of a shared service.
    pub(crate) fn eligible<'a>(
        &self,
        servers: &[&'a ServerDeclaration],
        running: impl Fn(&ServerName) -> u32,
        now: MonoTime,
    ) -> Vec<&'a ServerName> {
        let health = self.health.lock().unwrap();
        health
            .eligible(servers, |server| &server.name, running, now)
            .into_iter()
            .map(|server| &server.name)
            .collect()
    }

    /// Notes whether an exchange with `server` brought an answer of its own.
    pub(crate) fn record_exchange(&self, server: &ServerName, answered: bool, now: MonoTime) {
        let mut health = self.health.lock().unwrap();
        match answered {
            true => health.record_response(server),
            false => health.record_failure(server, now),
        }
    }

    /// Closes connections that have not been used for a while.
    pub(crate) fn close_idle(&self) {
        for session in self.sessions.lock().unwrap().values() {
            session.close_idle();
        }
    }

    /// Notes a request that was answered at its first attempt.
    pub(crate) fn record_success(&self, service: &ServiceName) {
        let mut budgets = self.budgets.lock().unwrap();
        budgets.entry(service.clone()).or_default().record_success();
    }

    /// Takes a retry out of the service's budget; false when there is none.
    pub(crate) fn try_take_retry(&self, service: &ServiceName) -> bool {
        let mut budgets = self.budgets.lock().unwrap();
        budgets.entry(service.clone()).or_default().try_take()
    }
}
