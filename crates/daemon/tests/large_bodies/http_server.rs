//! HTTP server of the tests, which can refuse the connections of one process.

use bytes::Bytes;
use geraniummast_net::WorkerPool;
use geraniummast_soak::ConnectionEnds;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol_hyper::rt::FuturesIo;
use std::{
    convert::Infallible,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

/// Answer of a store or a server.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Builds an answer.
pub(crate) fn reply_with(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}

/// Serves a free port of `host`; closes the connections for which `is_refused`
/// returns true.
pub(crate) fn serve<H, F>(
    pool: &Arc<WorkerPool>,
    host: Ipv4Addr,
    is_refused: impl Fn(ConnectionEnds) -> bool + Send + 'static,
    handle: H,
) -> SocketAddr
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let bound = async_net::TcpListener::bind((host, 0));
    let listener = futures_lite::future::block_on(bound).unwrap();
    let address = listener.local_addr().unwrap();
    let workers = pool.clone();
    pool.spawn(async move {
        while let Ok((stream, client)) = listener.accept().await {
            if is_refused((client, address)) {
                continue;
            }
            let handle = handle.clone();
            workers.spawn(async move {
                let service = service_fn(|request| {
                    let reply = handle(request);
                    async move { Ok::<_, Infallible>(reply.await) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(FuturesIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}
