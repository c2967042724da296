//! HTTP/1.1 server on one address.

use crate::{
    answer_body::AnswerBody,
    http_stream::HttpStream,
    lingering_close,
    open_connections::TrackedGuard,
    prelude::*,
    tracked_connection::{CloseRequest, TrackedConnection},
    tracked_stream::TrackedStream,
};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol_hyper::rt::SmolTimer;
use std::{pin::pin, sync::Weak};

/// Smallest buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Time between checks for stalled connections.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on the connections and request heads that a listener accepts.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Connections open at once.
    pub max_connections: usize,
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest number of headers in a request.
    pub max_headers: usize,
    /// Longest time for receiving the head of a request.
    pub head_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_head_bytes: 16 << 10,
            max_headers: 64,
            head_timeout: Duration::from_secs(10),
        }
    }
}

/// Listening socket that serves HTTP requests.
pub struct HttpListener {
    listener: TcpListener,
    limits: HttpLimits,
    connections: Arc<OpenConnections>,
    replaces_resting: bool,
    observe: ConnectionObserver,
    stall_limits: Option<StallLimitSource>,
}

/// Called for each connection that a listener closes or refuses because of a limit.
type ConnectionObserver = Arc<dyn Fn(ConnectionEvent) + Send + Sync>;
/// Looks up the limits that are in force.
type StallLimitSource = Box<dyn Fn() -> StallLimits + Send + Sync>;

impl HttpListener {
    /// Binds `address` and starts listening.
    pub async fn bind(address: SocketAddr, limits: HttpLimits) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            limits,
            connections: Arc::default(),
            replaces_resting: false,
            observe: Arc::new(|_| ()),
            stall_limits: None,
        })
    }

    /// Closes a connection without a request in progress for a new one when too many are open,
    /// instead of refusing the new one.
    pub fn replace_resting(mut self) -> Self {
        self.replaces_resting = true;
        self
    }

    /// Calls `observe` for each connection that is closed or refused because of a limit.
    pub fn observe(mut self, observe: impl Fn(ConnectionEvent) + Send + Sync + 'static) -> Self {
        self.observe = Arc::new(observe);
        self
    }

    /// Closes connections that make no progress for longer than `limits` returns at the time.
    pub fn close_stalled(
        mut self,
        limits: impl Fn() -> StallLimits + Send + Sync + 'static,
    ) -> Self {
        self.stall_limits = Some(Box::new(limits));
        self
    }

    /// Count and shutdown state of this listener's connections.
    pub fn connections(&self) -> Arc<OpenConnections> {
        self.connections.clone()
    }

    /// Address that the listener is bound to, with the port that the system chose.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers every request with `handle` until the pool stops or
    /// [`OpenConnections::stop_accepting`] is called.
    pub async fn serve<H, F, B>(mut self, pool: Arc<WorkerPool>, handle: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Into<MessageBody> + 'static,
    {
        if let Some(limits) = self.stall_limits.take() {
            let connections = Arc::downgrade(&self.connections);
            pool.spawn(close_stalled(connections, limits));
        }
        let handle = move |request| {
            // Without the box, the state of a request would be a part of each idle connection.
            let answer = Box::pin(handle(request));
            async move { answer.await.map(Into::into) }
        };
        let mut accept_stopped = pin!(async {
            self.connections.wait_accept_stopped().await;
            None
        });
        loop {
            let accept = async { Some(self.listener.accept().await) };
            match future::or(accept_stopped.as_mut(), accept).await {
                None => break,
                Some(Ok((stream, _))) => {
                    self.start_connection(&pool, stream, &handle);
                    // Lets connections close that gave way, so that not more stay open than allowed.
                    future::yield_now().await;
                }
                Some(Err(_)) => {
                    async_io::Timer::after(Duration::from_millis(10)).await;
                }
            }
        }
        // Closing the socket would reset the connections that wait to be accepted.
        while let Some(Ok((stream, _))) = future::poll_once(self.listener.accept()).await {
            self.start_connection(&pool, stream, &handle);
        }
    }

    /// Serves a connection in a task of its own, unless too many are open.
    fn start_connection<H, F>(&self, pool: &Arc<WorkerPool>, stream: TcpStream, handle: &H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<MessageBody>> + Send + 'static,
    {
        let now = SteadyClock.now();
        let max = self.limits.max_connections;
        let (guard, event) = self.connections.track(max, self.replaces_resting, now);
        if let Some(event) = event {
            (self.observe)(event);
        }
        let Some(guard) = guard else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let connections = self.connections.clone();
        let handle = handle.clone();
        let observe = self.observe.clone();
        let limits = self.limits;
        pool.spawn(async move {
            let socket = stream.clone();
            match serve_connection(stream, limits, &connections, &guard, handle).await {
                ConnectionEnd::Done => {
                    // Without the box, the state of the close would be a part of each connection.
                    Box::pin(lingering_close::close(socket, &guard.connection)).await;
                }
                ConnectionEnd::Unused => {}
                ConnectionEnd::Stalled(kind) => {
                    drop((socket, guard));
                    observe(ConnectionEvent::Stalled(kind));
                }
            }
        });
    }
}

/// Periodically closes the connections that have stalled, while there may be any.
///
/// One timer for all connections spares each request the timers of its own.
async fn close_stalled(connections: Weak<OpenConnections>, limits: StallLimitSource) {
    loop {
        async_io::Timer::after(STALL_CHECK_INTERVAL).await;
        let Some(connections) = connections.upgrade() else {
            return;
        };
        connections.close_stalled(limits(), SteadyClock.now());
    }
}

/// How the serving of a connection ended.
enum ConnectionEnd {
    /// The peer closed it, or no more is to be answered on it.
    Done,
    /// It was closed before any request.
    Unused,
    /// It made no progress.
    Stalled(StallKind),
}

/// Serves a connection until it ends; the HTTP server has let go of it afterwards.
async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: HttpLimits,
    connections: &OpenConnections,
    guard: &TrackedGuard,
    handle: H,
) -> ConnectionEnd
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<MessageBody>>,
{
    let tracked: &TrackedConnection = &guard.connection;
    let service = service_fn(|request| {
        tracked.begin_request();
        let answer = handle(request);
        async move {
            let mut response = answer.await;
            if connections.is_keep_alive_disabled() {
                let close = http::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(http::header::CONNECTION, close);
            }
            let connection = guard.connection.clone();
            let response = response.map(|body| AnswerBody::new(body, connection));
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let stream = TrackedStream::new(stream, guard.connection.clone());
    let mut connection = pin!(
        http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
            .max_headers(limits.max_headers)
            .serve_connection(HttpStream::from(stream), service)
    );
    // The connection is polled first each time, so that bytes that have arrived count before a
    // request to close it does.
    let ended = async {
        let _ = connection.as_mut().await;
        None
    };
    let closing = async {
        connections.wait_closing().await;
        Some(CloseRequest::Graceful)
    };
    let requested = async { Some(tracked.wait_close().await) };
    match future::or(ended, future::or(closing, requested)).await {
        None => ConnectionEnd::Done,
        Some(CloseRequest::Stalled(kind)) => ConnectionEnd::Stalled(kind),
        // The HTTP server would wait for a request if it has received an empty line.
        Some(CloseRequest::Graceful) if tracked.is_silent() => ConnectionEnd::Unused,
        Some(CloseRequest::Graceful) => {
            connection.as_mut().graceful_shutdown();
            let ended = async {
                let _ = connection.await;
                ConnectionEnd::Done
            };
            let stalled = async { ConnectionEnd::Stalled(tracked.wait_stalled().await) };
            future::or(ended, stalled).await
        }
    }
}
