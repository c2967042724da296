//! HTTP/1.1 server on one address.

use crate::{http_stream::HttpStream, prelude::*};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol_hyper::rt::SmolTimer;
use std::pin::pin;

/// Smallest buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

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
}

impl HttpListener {
    /// Binds `address` and starts listening.
    pub async fn bind(address: SocketAddr, limits: HttpLimits) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            limits,
            connections: Arc::default(),
        })
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
    pub async fn serve<H, F, B>(self, pool: Arc<WorkerPool>, handle: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Into<MessageBody> + 'static,
    {
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
                Some(Ok((stream, _))) => self.start_connection(&pool, stream, &handle),
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
        let Some(guard) = self.connections.admit(self.limits.max_connections) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let connections = self.connections.clone();
        let handle = handle.clone();
        let limits = self.limits;
        pool.spawn(async move {
            serve_connection(stream, limits, &connections, handle).await;
            drop(guard);
        });
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: HttpLimits,
    connections: &OpenConnections,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<MessageBody>>,
{
    let service = service_fn(|request| {
        let answer = handle(request);
        async move {
            let mut response = answer.await;
            if connections.is_keep_alive_disabled() {
                let close = http::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(http::header::CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut connection = pin!(
        http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
            .max_headers(limits.max_headers)
            .serve_connection(HttpStream::from(stream), service)
    );
    let ended = async {
        let _ = connection.as_mut().await;
        true
    };
    let closing = async {
        connections.wait_closing().await;
        false
    };
    if !future::or(ended, closing).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
