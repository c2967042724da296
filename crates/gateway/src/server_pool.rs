//! Connections to one server.
//!
//! A connection is used again only after a whole answer that was its request's own, and not close to
//! the end of the time for which the server keeps idle connections.

use crate::prelude::*;

/// Connections of this instance to one server.
pub(crate) struct ServerPool {
    workers: Arc<WorkerPool>,
    dialer: Dialer,
    address: SocketAddr,
    idle: IdleList<ServerLink>,
    open: Arc<AtomicUsize>,
}

/// A connection that is counted while it is open.
pub(crate) struct ServerLink {
    connection: HttpConnection,
    open: Arc<AtomicUsize>,
}

impl Drop for ServerLink {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerPool {
    /// Time for which an idle connection is kept whose server tells no time.
    const IDLE_TIME: Duration = Duration::from_millis(600);
    /// Longest time for which an idle connection is kept.
    const MOST_IDLE_TIME: Duration = Duration::from_secs(6);
    /// Part of the server's time that is left unused, so that its close and a request do not cross.
    const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
    /// Longest time that a new connection may take: a lost packet is sent again after that.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
    /// Largest body of an answer, in bytes.
    const MAX_ANSWER_BYTES: usize = 32 << 20;

    /// Connections to `address`.
    pub(crate) fn new(workers: Arc<WorkerPool>, address: SocketAddr) -> Self {
        Self {
            workers,
            dialer: Dialer::direct(),
            address,
            idle: IdleList::new(|link| link.connection.is_open()),
            open: Arc::default(),
        }
    }

    /// A connection, reused or new.
    pub(crate) async fn connect(
        &self,
        now: MonoTime,
        left: Duration,
    ) -> Result<ServerLink, ExchangeError> {
        if let Some(link) = self.idle.take(now) {
            return Ok(link);
        }
        let timeout = left.min(Self::CONNECT_TIMEOUT);
        let connection =
            HttpConnection::open(&self.workers, &self.dialer, self.address, timeout).await?;
        metrics::counter!(SERVER_CONNECTIONS).increment(1);
        self.open.fetch_add(1, Ordering::Relaxed);
        Ok(ServerLink {
            connection,
            open: self.open.clone(),
        })
    }

    /// Keeps a connection for the next request, unless `limit` are kept.
    pub(crate) fn keep(
        &self,
        link: ServerLink,
        idle_timeout: Option<Duration>,
        limit: usize,
        now: MonoTime,
    ) {
        let time = match idle_timeout {
            Some(timeout) => timeout
                .saturating_sub(Self::IDLE_MARGIN)
                .min(Self::MOST_IDLE_TIME),
            None => Self::IDLE_TIME,
        };
        if !time.is_zero() {
            self.idle.keep(link, now.after(time), limit);
        }
    }

    /// Closes connections that were idle too long.
    pub(crate) fn close_idle(&self, now: MonoTime) {
        self.idle.close_expired(now);
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.clear();
    }

    /// Connections open now.
    pub(crate) fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

impl ServerLink {
    /// Sends a request and reads the whole answer.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.connection
            .exchange(request, ServerPool::MAX_ANSWER_BYTES)
            .await
    }
}
