//! Sessions with servers, their health, and the retry budgets of services.

use crate::prelude::*;

/// Sessions by address, health by server, and retry budgets by service.
#[derive(Default)]
pub(crate) struct ServerPool {
    sessions: Mutex<IndexMap<SocketAddr, Arc<ServerSession>>>,
    health: Mutex<HealthTable>,
    budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
}

impl ServerPool {
    /// Session with a declared server, created on first use.
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

    /// Names of the `servers` that are healthy enough to get a request of a shared service.
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

    /// Records whether an exchange with `server` brought a valid answer.
    pub(crate) fn record_exchange(&self, server: &ServerName, answered: bool, now: MonoTime) {
        let mut health = self.health.lock().unwrap();
        match answered {
            true => health.record_response(server),
            false => health.record_failure(server, now),
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        for session in self.sessions.lock().unwrap().values() {
            session.close_idle();
        }
    }

    /// Records a request that was answered at its first attempt, which adds to the retry budget.
    pub(crate) fn record_success(&self, service: &ServiceName) {
        let mut budgets = self.budgets.lock().unwrap();
        budgets.entry(service.clone()).or_default().record_success();
    }

    /// Takes a retry from the service's budget; false when the budget is exhausted.
    pub(crate) fn try_take_retry(&self, service: &ServiceName) -> bool {
        let mut budgets = self.budgets.lock().unwrap();
        budgets.entry(service.clone()).or_default().try_take()
    }
}
