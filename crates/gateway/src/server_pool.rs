//! Connection pool of one server.
//!
//! A connection is reused only after a complete, verified answer to its last request, not for a
//! request that it has carried before, and not when the server's idle timeout is about to expire.

use crate::{latest_values::LatestValues, prelude::*, sent_request::SentRequest};

/// Connections from this instance to one server.
pub(crate) struct ServerPool {
    workers: Arc<WorkerPool>,
    dialer: TcpDialer,
    address: SocketAddr,
    idle: IdleList<PooledConnection>,
    open_count: Arc<AtomicUsize>,
}

/// A connection that counts as open until it is dropped.
pub(crate) struct PooledConnection {
    http: HttpConnection,
    is_new: bool,
    sent: LatestValues<SentRequest, { ServerPool::MAX_REMEMBERED }>,
    open_count: Arc<AtomicUsize>,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerPool {
    /// How long an idle connection is kept if the server announces no idle timeout.
    const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(600);
    /// Maximum time for which an idle connection is kept.
    const MAX_IDLE_TIME: Duration = Duration::from_secs(6);
    /// Safety margin before the server's idle timeout, so that its close does not race with a new
    /// request.
    const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
    /// Timeout of a new connection. Shorter than the time after which a lost packet is sent again.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
    /// Time beyond a round trip within which a server resets a connection that it does not accept.
    pub(crate) const RESET_MARGIN: Duration = Duration::from_millis(2);
    /// Longest round trip that is waited for.
    const MAX_ROUND_TRIP: Duration = Duration::from_millis(20);
    /// Number of requests that a connection remembers.
    const MAX_REMEMBERED: usize = 8;
    /// Maximum size of an answer's body, in bytes.
    const MAX_ANSWER_BYTES: usize = 32 << 20;

    /// Creates an empty pool of connections to `address`.
    pub(crate) fn new(workers: Arc<WorkerPool>, address: SocketAddr) -> Self {
        Self {
            workers,
            dialer: TcpDialer::direct(),
            address,
            idle: IdleList::new(|connection| connection.http.is_open()),
            open_count: Arc::default(),
        }
    }

    /// Returns an idle connection that has not carried the request lately, or opens a new one within
    /// `left`. With a `reset_margin` a new one is returned only if the server does not reset it within
    /// a round trip and that time: a server does so beyond its maximum, and nobody could tell whether a
    /// request that was already written has run.
    pub(crate) async fn connect(
        &self,
        sent: SentRequest,
        now: MonoTime,
        left: Duration,
        reset_margin: Option<Duration>,
    ) -> Result<PooledConnection, ExchangeError> {
        if let Some(connection) = self.idle.take_where(now, |idle| !idle.sent.contains(&sent)) {
            return Ok(connection);
        }
        let timeout = left.min(Self::CONNECT_TIMEOUT);
        let http = HttpConnection::open(&self.workers, &self.dialer, self.address, timeout).await?;
        metrics::counter!(SERVER_CONNECTIONS).increment(1);
        if let Some(margin) = reset_margin {
            let round_trip = SteadyClock.now().since(now).min(Self::MAX_ROUND_TRIP);
            Timer::after(round_trip + margin).await;
            if !http.is_open() {
                let cause = format!("{}: connection reset when it was opened", self.address);
                return Err(ExchangeError::ConnectionRefused(cause));
            }
        }
        self.open_count.fetch_add(1, Ordering::Relaxed);
        Ok(PooledConnection {
            http,
            is_new: true,
            sent: LatestValues::default(),
            open_count: self.open_count.clone(),
        })
    }

    /// Returns a connection to the pool; closes it if the pool holds `limit` idle ones already.
    pub(crate) fn keep(
        &self,
        mut connection: PooledConnection,
        idle_timeout: Option<Duration>,
        limit: usize,
        now: MonoTime,
    ) {
        let time = match idle_timeout {
            Some(timeout) => timeout
                .saturating_sub(Self::IDLE_MARGIN)
                .min(Self::MAX_IDLE_TIME),
            None => Self::DEFAULT_IDLE_TIME,
        };
        connection.is_new = false;
        if !time.is_zero() {
            self.idle.keep(connection, now.after(time), limit);
        }
    }

    /// Closes idle connections that have expired.
    pub(crate) fn close_idle(&self, now: MonoTime) {
        self.idle.close_expired(now);
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.clear();
    }

    /// Number of open connections.
    pub(crate) fn open_count(&self) -> usize {
        self.open_count.load(Ordering::Relaxed)
    }
}

impl PooledConnection {
    /// Whether no answer has been read from the connection yet.
    pub(crate) fn is_new(&self) -> bool {
        self.is_new
    }

    /// Sends a request and reads the complete answer.
    pub(crate) async fn exchange(
        &mut self,
        sent: SentRequest,
        request: Request<MessageBody>,
        memory: &Arc<MemoryBudget>,
    ) -> Result<Response<StoredBody>, ExchangeError> {
        self.sent.record(sent);
        self.http
            .exchange_within_budget(request, ServerPool::MAX_ANSWER_BYTES, memory)
            .await
    }
}
