//! Sessions with servers.

use crate::prelude::*;

/// One session per server address.
#[derive(Default)]
pub(crate) struct ServerBook {
    sessions: Mutex<IndexMap<SocketAddr, Arc<ServerSession>>>,
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
}
