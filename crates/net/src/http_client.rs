//! Exchanges with one address over reused connections.
//!
//! A connection goes back to the idle list only after a whole answer; one whose exchange failed or
//! was abandoned is closed.

use crate::prelude::*;

/// Client of one address.
pub struct HttpClient {
    pool: Arc<WorkerPool>,
    dialer: Dialer,
    address: SocketAddr,
    idle: Mutex<Vec<HttpConnection>>,
}

impl HttpClient {
    /// Largest answer read, in bytes.
    pub const MAX_ANSWER_BYTES: usize = 4 << 20;
    /// Idle connections kept.
    const MAX_IDLE: usize = 4;

    /// Client of `address`.
    pub fn new(pool: Arc<WorkerPool>, dialer: Dialer, address: SocketAddr) -> Self {
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
        self.exchange_bounded(request, timeout, Self::MAX_ANSWER_BYTES)
            .await
    }

    /// Sends a request and reads the whole answer, of at most `max_answer` bytes of body.
    ///
    /// The connection of an exchange that fails or is dropped is closed and not used again.
    pub async fn exchange_bounded(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_answer: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let late_at = std::time::Instant::now() + timeout;
        let late = async {
            async_io::Timer::at(late_at).await;
            None
        };
        let mut connection = match self.take_idle() {
            Some(connection) => connection,
            None => HttpConnection::open(&self.pool, &self.dialer, self.address, timeout).await?,
        };
        let exchange = async { Some(connection.exchange(request, max_answer).await) };
        let response = match future::or(exchange, late).await {
            Some(response) => response?,
            None => return Err(ExchangeError::TimedOut),
        };
        self.keep(connection);
        Ok(response)
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let mut idle = self.idle.lock().unwrap();
        std::iter::from_fn(|| idle.pop()).find(HttpConnection::is_open)
    }

    fn keep(&self, connection: HttpConnection) {
        let mut idle = self.idle.lock().unwrap();
        if connection.is_open() && idle.len() < Self::MAX_IDLE {
            idle.push(connection);
        }
    }
}
