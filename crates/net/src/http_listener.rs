//! Serving of HTTP/1.1 on one address.

use crate::prelude::*;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bounds on what one listener takes.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Connections open at once.
    pub max_connections: usize,
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Most headers of a request.
    pub max_headers: usize,
    /// Longest time until the head of a request has arrived.
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

/// A bound listener.
pub struct HttpListener {
    listener: TcpListener,
    limits: HttpLimits,
}

impl HttpListener {
    /// Binds `address`.
    pub async fn bind(address: SocketAddr, limits: HttpLimits) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            limits,
        })
    }

    /// Address that was bound.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers every request with `handle` until the pool stops.
    pub async fn serve<H, F>(self, pool: Arc<WorkerPool>, handle: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        let open = Arc::new(AtomicUsize::new(0));
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                async_io::Timer::after(Duration::from_millis(10)).await;
                continue;
            };
            if open.fetch_add(1, Ordering::Relaxed) >= self.limits.max_connections {
                open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            let open = open.clone();
            let limits = self.limits;
            pool.spawn(async move {
                let service = service_fn(move |request| {
                    let answer = handle(request);
                    async move { Ok::<_, std::convert::Infallible>(answer.await) }
                });
                let _ = http1::Builder::new()
                    .timer(SmolTimer::new())
                    .header_read_timeout(limits.head_timeout)
                    .max_buf_size(limits.max_head_bytes.max(8_192))
                    .max_headers(limits.max_headers)
                    .serve_connection(FuturesIo::new(stream), service)
                    .await;
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}
