//! HTTP exchanges with one address over reused connections.
//!
//! A connection goes back to the idle list only after a complete answer. A connection whose exchange
//! failed or was cancelled is closed.

use crate::prelude::*;
use std::time::Instant;

/// HTTP client for one address with a list of idle connections.
pub struct HttpClient {
    pool: Arc<WorkerPool>,
    dialer: TcpDialer,
    address: SocketAddr,
    idle: StateMutex<Vec<IdleConnection>>,
    budget: Arc<MemoryBudget>,
}

/// Open connection without an exchange, kept for reuse.
struct IdleConnection {
    connection: HttpConnection,
    idle_since: Instant,
}

/// Limits of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeLimits {
    /// Longest time until the complete answer has been read, or until its body begins if there is a
    /// `stall_timeout`.
    pub timeout: Duration,
    /// Longest time on a reused connection, whose peer may have stopped answering.
    pub reused_timeout: Duration,
    /// Longest time without a further piece of the body once it has begun, for answers whose length
    /// says how long they take; `None` if the times above hold for the whole answer.
    pub stall_timeout: Option<Duration>,
    /// Largest accepted body of the answer, in bytes.
    pub max_answer_bytes: usize,
}

impl HttpClient {
    /// Largest accepted body of an answer where the caller sets no limit, in bytes.
    pub const MAX_ANSWER_BYTES: usize = 4 << 20;
    const MAX_IDLE_CONNECTIONS: usize = 16;
    /// Time after which an idle connection is closed.
    pub const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
    /// Longest time for opening a connection.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

    /// Creates a client for `address` that opens its connections with `dialer`.
    pub fn new(pool: Arc<WorkerPool>, dialer: TcpDialer, address: SocketAddr) -> Self {
        Self {
            pool,
            dialer,
            address,
            idle: StateMutex::default(),
            budget: MemoryBudget::new(usize::MAX),
        }
    }

    /// The client, with answers that share `budget` with others.
    pub fn with_budget(self, budget: &Arc<MemoryBudget>) -> Self {
        Self {
            budget: budget.clone(),
            ..self
        }
    }

    /// Address that requests are sent to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the complete answer within `timeout`.
    pub async fn exchange(
        &self,
        request: Request<impl Into<MessageBody>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let limits = ExchangeLimits {
            timeout,
            reused_timeout: timeout,
            stall_timeout: None,
            max_answer_bytes: Self::MAX_ANSWER_BYTES,
        };
        self.exchange_within(request, limits).await
    }

    /// Sends a request and reads the complete answer within `limits`, in one piece.
    pub async fn exchange_within(
        &self,
        request: Request<impl Into<MessageBody>>,
        limits: ExchangeLimits,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let answer = self.exchange_stored(request, limits).await?;
        Ok(answer.map(StoredBody::into_bytes))
    }

    /// Sends a request and reads the complete answer within `limits`.
    ///
    /// The connection of an exchange that fails or is dropped is closed. After a timeout all idle
    /// connections are closed too, because they may have been lost together with it.
    pub async fn exchange_stored(
        &self,
        request: Request<impl Into<MessageBody>>,
        limits: ExchangeLimits,
    ) -> Result<Response<StoredBody>, ExchangeError> {
        let started = Instant::now();
        let reused = self.take_idle();
        let timeout = match reused {
            Some(_) => limits.reused_timeout.min(limits.timeout),
            None => limits.timeout,
        };
        let deadline = started + timeout;
        let progress = TransferProgress::default();
        let timed_out = async {
            async_io::Timer::at(deadline).await;
            if let Some(stall_timeout) = limits.stall_timeout
                && progress.received_bytes() > 0
            {
                progress.stalled(stall_timeout).await;
            }
            None
        };
        let mut connection = match reused {
            Some(connection) => connection,
            None => {
                let connect_timeout = timeout.min(Self::CONNECT_TIMEOUT);
                HttpConnection::open(&self.pool, &self.dialer, self.address, connect_timeout)
                    .await?
            }
        };
        let exchange = async {
            let max_bytes = limits.max_answer_bytes;
            let budget = &self.budget;
            let exchange = connection.exchange_tracked(request, max_bytes, budget, &progress);
            Some(exchange.await)
        };
        let response = match future::or(exchange, timed_out).await {
            Some(response) => response?,
            None => {
                self.close_all_idle();
                return Err(ExchangeError::TimedOut);
            }
        };
        self.return_to_idle(connection);
        Ok(response)
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let mut idle = self.idle.lock();
        std::iter::from_fn(|| idle.pop())
            .find(IdleConnection::is_usable)
            .map(|idle| idle.connection)
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_idle(&self) {
        let mut idle = self.idle.lock();
        idle.retain(IdleConnection::is_usable);
    }

    /// Whether any connection is idle.
    pub fn has_idle(&self) -> bool {
        !self.idle.lock().is_empty()
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.lock().clear();
    }

    fn return_to_idle(&self, connection: HttpConnection) {
        let mut idle = self.idle.lock();
        if connection.is_open() && idle.len() < Self::MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection {
                connection,
                idle_since: Instant::now(),
            });
        }
    }
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.connection.is_open() && self.idle_since.elapsed() < HttpClient::IDLE_TIMEOUT
    }
}
