//! HTTP server of the tests, which can refuse the connections of one process.

use bytes::Bytes;
use geraniummast_net::WorkerPool;
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

/// Serves a free port of `host`; closes the connections of clients that `is_refused` names.
pub(crate) fn serve<H, F>(
    pool: &Arc<WorkerPool>,
    host: Ipv4Addr,
    is_refused: impl Fn(SocketAddr) -> bool + Send + 'static,
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
            if is_refused(client) {
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

/// Whether the loopback connection that has the end `client` belongs to a process.
pub(crate) fn is_socket_of(process: u32, client: SocketAddr) -> bool {
    let SocketAddr::V4(client) = client else {
        return false;
    };
    let address = u32::from_ne_bytes(client.ip().octets());
    let local = format!("{address:08X}:{:04X}", client.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let row = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let mut own = row.filter(|columns| columns.get(1) == Some(&local.as_str()));
    let Some(number) = own.find_map(|columns| columns.get(9).map(ToString::to_string)) else {
        return false;
    };
    let target = format!("socket:[{number}]");
    let files = std::fs::read_dir(format!("/proc/{process}/fd"))
        .into_iter()
        .flatten();
    let mut targets = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
    targets.any(|path| path.to_str() == Some(&target))
}
