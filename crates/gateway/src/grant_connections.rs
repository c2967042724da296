//! Connections over which a server is granted keys.
//!
//! A grant with a fence issued to one incarnation of a server must not reach a later incarnation,
//! which needs a higher fence. A new connection is therefore used only after the store, read once
//! the connection is open, has confirmed the incarnation that the grants are meant for.

use crate::{incarnation_checks::IncarnationCheck, prelude::*};

/// Verified connections of a leader to one incarnation of one server.
pub(crate) struct GrantConnections {
    idle: IdleList<HttpConnection>,
}

/// Reason why no grant connection is available.
#[derive(Debug)]
pub(crate) enum ConnectError {
    /// The server could not be reached.
    Unreachable(ExchangeError),
    /// The connection could not be verified to lead to the expected incarnation of the server.
    Unverified(&'static str),
}

impl GrantConnections {
    /// Largest number of idle connections kept.
    const MAX_IDLE: usize = 2;
    /// Time after which an idle connection is closed.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
    /// Longest time to open a connection.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

    /// Creates a set without connections.
    pub(crate) fn new() -> Self {
        Self {
            idle: IdleList::new(HttpConnection::is_open),
        }
    }

    /// Returns an idle connection, or opens and verifies a new one.
    pub(crate) async fn take(
        &self,
        node: &Arc<GatewayNode>,
        server: &ServerRuntime,
    ) -> Result<HttpConnection, ConnectError> {
        if let Some(connection) = self.idle.take(node.now()) {
            return Ok(connection);
        }
        let dialer = TcpDialer::direct();
        let address = server.entry.address;
        let connection =
            HttpConnection::open(&node.workers, &dialer, address, Self::CONNECT_TIMEOUT)
                .await
                .map_err(ConnectError::Unreachable)?;
        // While the store is unavailable and peers are heard, the check is skipped: this leader
        // changes no record, and the peers would report a new leader.
        let may_have_restarted = server.with_order_health(|health| health.may_have_restarted());
        if node.is_only_store_unavailable() && !may_have_restarted {
            return Ok(connection);
        }
        match node
            .incarnation_checks
            .check(node, server.incarnation())
            .await
        {
            IncarnationCheck::Same => Ok(connection),
            IncarnationCheck::Other => Err(ConnectError::Unverified(
                "store lists another incarnation of the server",
            )),
            IncarnationCheck::Unknown => Err(ConnectError::Unverified(
                "store did not confirm the server's incarnation",
            )),
        }
    }

    /// Keeps a connection for reuse after a complete answer.
    pub(crate) fn keep(&self, connection: HttpConnection, now: MonoTime) {
        let until = now.after(Self::IDLE_TIMEOUT);
        self.idle.keep(connection, until, Self::MAX_IDLE);
    }

    /// Closes connections that were idle for longer than `IDLE_TIMEOUT`.
    pub(crate) fn close_idle(&self, now: MonoTime) {
        self.idle.close_expired(now);
    }
}
