//! Connections over which a server is granted keys.
//!
//! A grant with a fence that one incarnation of a server has had must not reach a later one, which needs
//! a higher fence. An address and an identifier do not tell the two apart, and neither does the store:
//! a server that has started again listens before its entry is written. A connection therefore
//! carries a fence only if
//!
//! - the store, asked after the connection was opened, has confirmed this instance as the leader: a new
//!   incarnation does not know the fences of a later leader, and would accept a lower one; and
//! - the fence was not sent before the connection was opened ([`SentFences`]). Otherwise the range is
//!   granted under a new fence, which the leader writes into the record first.
//!
//! While the store is unavailable neither is possible. A standby connection serves then: it is proved to
//! lead to the same process as the one in use by an order that is answered there after it was opened.
//! Both are used in turn, so that a server which closes one of them keeps its keys.

use crate::prelude::*;

/// Connections of a leader to one server, for grants.
pub(crate) struct GrantConnections {
    idle: IdleList<GrantConnection>,
    state: StateMutex<GrantState>,
}

/// Open connection, and the fences that it must not carry.
pub(crate) struct GrantConnection {
    pub(crate) http: HttpConnection,
    floor: FenceFloor,
}

/// What is remembered besides the connections.
#[derive(Debug, Default)]
struct GrantState {
    fences: SentFences,
    /// Whether an order has been answered.
    has_answered: bool,
    /// When a standby connection was last tried.
    standby_tried_at: MonoTime,
}

/// Connection that leads to the process at the server's address, whichever it is.
pub(crate) struct StandbyConnection(HttpConnection);

/// Reason why no grant connection is available.
#[derive(Debug)]
pub(crate) enum ConnectError {
    /// The server could not be reached.
    Unreachable(ExchangeError),
    /// The store has not confirmed the leadership since the connection was opened.
    Unconfirmed,
    /// The fence may have been sent to an earlier incarnation of the server.
    FenceUsed,
}

impl GrantConnections {
    /// Largest number of idle connections kept.
    const MAX_IDLE: usize = 2;
    /// Time after which an idle connection is closed. A proof has to outlast a pause of the renewals,
    /// such as that of a leader without support.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
    /// Longest time to open a connection.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
    /// Shortest time between two attempts to open a standby connection.
    const STANDBY_INTERVAL: Duration = Duration::from_millis(250);

    /// Creates a set without connections.
    pub(crate) fn new() -> Self {
        Self {
            idle: IdleList::new(|connection| connection.http.is_open()),
            state: StateMutex::default(),
        }
    }

    /// Returns an idle connection that may carry the fence, or opens a new one. The fence counts as
    /// sent from then on.
    pub(crate) async fn take(
        &self,
        node: &Arc<GatewayNode>,
        server: &ServerRuntime,
        fence: u64,
    ) -> Result<GrantConnection, ConnectError> {
        let now = node.now();
        let idle = self.idle.take_oldest(now, |idle| idle.floor.allows(fence));
        if let Some(connection) = idle {
            return self.admit(connection, fence, now);
        }
        if node.store.health.is_unavailable() {
            return Err(ConnectError::Unconfirmed);
        }
        let http = open(node, server)
            .await
            .map_err(ConnectError::Unreachable)?;
        // Read after the connection is open: earlier fences may have reached an earlier incarnation.
        let floor = self.state.lock().fences.floor();
        let service = &server.entry.service;
        let checks = &node.leadership_checks;
        if !checks.is_leader_since(node, service, node.now()).await {
            return Err(ConnectError::Unconfirmed);
        }
        self.admit(GrantConnection { http, floor }, fence, node.now())
    }

    /// Returns the connection if it may carry the fence, and keeps it for later ones otherwise.
    fn admit(
        &self,
        connection: GrantConnection,
        fence: u64,
        now: MonoTime,
    ) -> Result<GrantConnection, ConnectError> {
        let step = self.state.lock().fences.next_step(connection.floor, fence);
        match step {
            FenceStep::Send => Ok(connection),
            FenceStep::Raise => {
                self.keep(connection, now);
                Err(ConnectError::FenceUsed)
            }
        }
    }

    /// Whether a range needs a new fence before it can be granted over a connection that is open now.
    pub(crate) fn needs_new_fence(&self, fence: u64) -> bool {
        self.state.lock().fences.needs_new_fence(fence)
    }

    /// Takes note that `fence` was sent, and then wanted on a connection that was opened later.
    #[cfg(test)]
    pub(crate) fn block_fence(&self, fence: u64) {
        let mut state = self.state.lock();
        for _connection in 0..2 {
            let floor = state.fences.floor();
            state.fences.next_step(floor, fence);
        }
    }

    /// Opens a connection and keeps it as if the store had confirmed the leader since.
    #[cfg(test)]
    pub(crate) async fn keep_new(&self, node: &GatewayNode, server: &ServerRuntime) {
        let floor = self.state.lock().fences.floor();
        if let Ok(http) = open(node, server).await {
            self.keep(GrantConnection { http, floor }, node.now());
        }
    }

    /// Opens a standby connection if none is idle beside the one that was taken. The first connection
    /// to a server goes without one, so that a new leader's grants do not wait for it.
    pub(crate) async fn open_standby(
        &self,
        node: &GatewayNode,
        server: &ServerRuntime,
    ) -> Option<StandbyConnection> {
        let now = node.now();
        {
            let mut state = self.state.lock();
            let is_due = now.since(state.standby_tried_at) >= Self::STANDBY_INTERVAL;
            if !state.has_answered || !is_due || self.idle.has_usable(now) {
                return None;
            }
            state.standby_tried_at = now;
        }
        open(node, server).await.ok().map(StandbyConnection)
    }

    /// Keeps an unused connection.
    pub(crate) fn keep(&self, connection: GrantConnection, now: MonoTime) {
        let until = now.after(Self::IDLE_TIMEOUT);
        self.idle.keep(connection, until, Self::MAX_IDLE);
    }

    /// Keeps a connection after a complete answer, and the standby connection that the answer has proved
    /// to lead to the same process.
    pub(crate) fn keep_answered(
        &self,
        connection: GrantConnection,
        standby: Option<StandbyConnection>,
        now: MonoTime,
    ) {
        self.state.lock().has_answered = true;
        if let Some(StandbyConnection(http)) = standby {
            let floor = connection.floor;
            self.keep(GrantConnection { http, floor }, now);
        }
        self.keep(connection, now);
    }

    /// Closes idle connections after an order without an answer, as they may have been lost together;
    /// but not while only the store is unavailable or lacks the record: then they are the only proof.
    pub(crate) fn close_doubtful(&self, node: &GatewayNode, service: &str) {
        let needs_restore = node.with_key_view(service, |view| view.leader.needs_restore());
        if !node.is_only_store_unavailable() && !needs_restore {
            self.idle.clear();
        }
    }

    /// Closes connections that were idle for longer than `IDLE_TIMEOUT`.
    pub(crate) fn close_idle(&self, now: MonoTime) {
        self.idle.close_expired(now);
    }
}

async fn open(node: &GatewayNode, server: &ServerRuntime) -> Result<HttpConnection, ExchangeError> {
    let dialer = TcpDialer::direct();
    let timeout = GrantConnections::CONNECT_TIMEOUT;
    HttpConnection::open(&node.workers, &dialer, server.entry.address, timeout).await
}
