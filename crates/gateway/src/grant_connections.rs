//! Connections over which a server is granted keys.
//!
//! A grant under a fence that was given out before must not reach a later life of the server: that
//! one needs a higher fence. A new connection is therefore used only once the store, asked after
//! the connection was made, has named the life that the grants are meant for.

use crate::prelude::*;

/// Proven connections of a leader to one life of one server.
pub(crate) struct GrantConnections {
    idle: IdleList<HttpConnection>,
}

/// Why there is no connection to grant keys over.
#[derive(Debug)]
pub(crate) enum LinkFault {
    /// The server could not be reached.
    Unreached(ExchangeError),
    /// Nothing says that the connection leads to the right life of the server.
    Unproven(&'static str),
}

/// What is known of the life at the end of a new connection.
enum LifeProof {
    Same,
    Other,
    Unknown,
}

impl GrantConnections {
    /// Idle connections kept.
    const MAX_IDLE: usize = 2;
    /// Time after which a connection that is not used is closed.
    const IDLE_TIME: Duration = Duration::from_secs(2);
    /// Longest time that a new connection may take.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
    /// Longest time that the store is asked for the server's life: a grant that was due has to
    /// leave before the one before it lapses.
    const PROOF_TIMEOUT: Duration = Duration::from_millis(500);

    /// No connection yet.
    pub(crate) fn new() -> Self {
        Self {
            idle: IdleList::new(HttpConnection::is_open),
        }
    }

    /// A connection that leads to this life of the server.
    pub(crate) async fn take(
        &self,
        node: &GatewayNode,
        server: &ServerRuntime,
    ) -> Result<HttpConnection, LinkFault> {
        if let Some(connection) = self.idle.take(node.now()) {
            return Ok(connection);
        }
        let dialer = TcpDialer::direct();
        let address = server.entry.address;
        let connection =
            HttpConnection::open(&node.workers, &dialer, address, Self::CONNECT_TIMEOUT)
                .await
                .map_err(LinkFault::Unreached)?;
        // Without the store this leader changes no record, and of another one its peers would tell.
        if node.is_only_store_unavailable() {
            return Ok(connection);
        }
        match prove(node, server.incarnation()).await {
            LifeProof::Same => Ok(connection),
            LifeProof::Other => Err(LinkFault::Unproven("another life of the server")),
            LifeProof::Unknown => Err(LinkFault::Unproven("no word on the server's life")),
        }
    }

    /// Keeps a connection after a whole answer.
    pub(crate) fn keep(&self, connection: HttpConnection, now: MonoTime) {
        let until = now.after(Self::IDLE_TIME);
        self.idle.keep(connection, until, Self::MAX_IDLE);
    }

    /// Closes connections that have not been used for a while.
    pub(crate) fn close_idle(&self, now: MonoTime) {
        self.idle.close_expired(now);
    }
}

/// Asks the store which life of a server it knows.
async fn prove(node: &GatewayNode, mark: &ServerIncarnation) -> LifeProof {
    let read = async { Some(node.store.read(ObjectKind::Servers, &mark.id).await) };
    let late = async {
        Timer::after(GrantConnections::PROOF_TIMEOUT).await;
        None
    };
    let Some(Ok(Some(object))) = future::or(read, late).await else {
        return LifeProof::Unknown;
    };
    match ServerBody::read(&object) {
        Ok(entry) if entry.incarnation == *mark => LifeProof::Same,
        Ok(_) => LifeProof::Other,
        Err(_) => LifeProof::Unknown,
    }
}
