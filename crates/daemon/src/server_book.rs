//! Sessions with servers.

use crate::prelude::*;

/// One session per server address.
#[derive(Default)]
pub(crate) struct ServerBook {
    sessions: Mutex<IndexMap<SocketAddr, Arc<ServerSession>>>,
    budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
}

impl ServerBook {
    /// Session with a declared server.
    pub(crate) fn session(&self, node: &Node, server: &ServerDeclaration) -> Arc<ServerSession> {
        self.sessions
            .lock()
            .unwrap()
            .entry(server.address)
            .or_insert_with(|| Arc::new(ServerSession::new(node, server)))
            .clone()
    }

    /// Notes a request that was answered at its first attempt.
    pub(crate) fn succeeded(&self, service: &ServiceName) {
        let mut budgets = self.budgets.lock().unwrap();
        budgets.entry(service.clone()).or_default().succeeded();
    }

    /// Takes a retry out of the service's budget; false when there is none.
    pub(crate) fn take_retry(&self, service: &ServiceName) -> bool {
        let mut budgets = self.budgets.lock().unwrap();
        budgets.entry(service.clone()).or_default().take()
    }
}
