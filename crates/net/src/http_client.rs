//! Exchanges with one address over reused connections.
//!
//! A connection goes back to the idle list only after a whole answer; one whose exchange failed or
//! was abandoned is closed.

use crate::prelude::*;
use std::time::Instant;

/// Client of one address.
pub struct HttpClient {
    pool: Arc<WorkerPool>,
    dialer: TcpDialer,
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

/// A connection that waits to be used again.
struct IdleConnection {
    connection: HttpConnection,
    since: Instant,
}

/// Bounds of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeLimits {
    /// Time until the whole answer has been read.
    pub timeout: Duration,
    /// The same on a connection that was used before, which may have gone silent.
    pub reused_timeout: Duration,
    /// Largest body of the answer, in bytes.
    pub max_answer_bytes: usize,
}

impl HttpClient {
    /// Largest answer read, in bytes.
    pub const MAX_ANSWER_BYTES: usize = 4 << 20;
    /// Idle connections kept.
    const MAX_IDLE: usize = 16;
    /// Time after which a connection that is not used is closed.
    const IDLE_TIME: Duration = Duration::from_secs(2);
    /// Longest time that a new connection may take.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

    /// Client of `address`.
    pub fn new(pool: Arc<WorkerPool>, dialer: TcpDialer, address: SocketAddr) -> Self {
        Self {
            pool,
            dialer,
            address,
            idle: Mutex::default(),
        }
    }

    /// Address of the other side.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole answer within `timeout`.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let bounds = ExchangeLimits {
            timeout,
            reused_timeout: timeout,
            max_answer_bytes: Self::MAX_ANSWER_BYTES,
        };
        self.exchange_within(request, bounds).await
    }

    /// Sends a request and reads the whole answer within `bounds`.
    ///
    /// The connection of an exchange that fails or is dropped is closed and not used again; after a
    /// silent one, so are the idle ones, which may have been lost together with it.
    pub async fn exchange_within(
        &self,
        request: Request<Full<Bytes>>,
        bounds: ExchangeLimits,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let started = Instant::now();
        let reused = self.take_idle();
        let patience = match reused {
            Some(_) => bounds.reused_timeout.min(bounds.timeout),
            None => bounds.timeout,
        };
        let late_at = started + patience;
        let late = async {
            async_io::Timer::at(late_at).await;
            None
        };
        let mut connection = match reused {
            Some(connection) => connection,
            None => {
                let timeout = patience.min(Self::CONNECT_TIMEOUT);
                HttpConnection::open(&self.pool, &self.dialer, self.address, timeout).await?
            }
        };
        let exchange = async { Some(connection.exchange(request, bounds.max_answer_bytes).await) };
        let response = match future::or(exchange, late).await {
            Some(response) => response?,
            None => {
                self.idle.lock().unwrap().clear();
                return Err(ExchangeError::TimedOut);
            }
        };
        self.keep(connection);
        Ok(response)
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let mut idle = self.idle.lock().unwrap();
        std::iter::from_fn(|| idle.pop())
            .find(IdleConnection::is_usable)
            .map(|idle| idle.connection)
    }

    /// Closes connections that have not been used for a while.
    pub fn close_idle(&self) {
        let mut idle = self.idle.lock().unwrap();
        idle.retain(IdleConnection::is_usable);
    }

    fn keep(&self, connection: HttpConnection) {
        let mut idle = self.idle.lock().unwrap();
        if connection.is_open() && idle.len() < Self::MAX_IDLE {
            idle.push(IdleConnection {
                connection,
                since: Instant::now(),
            });
        }
    }
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.connection.is_open() && self.since.elapsed() < HttpClient::IDLE_TIME
    }
}
