//! Store, servers and the configuration of a small site.

use crate::http_server::{Reply, reply_with, serve};
use bytes::Bytes;
use geraniummast_net::WorkerPool;
use geraniummast_platform::{
    AnswerHeaders, ConfigurationBody, ObjectKind, RequestHeaders, ServerBody,
};
use geraniummast_routing::{
    RequestLimits, RouteRule, RouteTable, ServerEntry, ServerIncarnation, ServerState,
    ServiceConfig, WeightedService,
};
use geraniummast_soak::{ConnectionEnds, SimulatedStore, SocketFinder, open_sockets};
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde_json::Value;
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

/// Host of all routes.
pub(crate) const HOST: &str = "site.example";
/// Prefix of the route of idempotent requests.
pub(crate) const LOOKUP_PREFIX: &str = "/lookup/";
/// Prefix of the route of non-idempotent requests.
pub(crate) const UPLOAD_PREFIX: &str = "/upload/";
/// Idempotent request that the server answers after [`SLOW_TIME`].
pub(crate) const SLOW_LOOKUP: &str = "/lookup/slow";
/// Non-idempotent request that the server answers after [`SLOW_TIME`].
pub(crate) const SLOW_UPLOAD: &str = "/upload/slow";
/// Request that the server answers with [`LARGE_RESPONSE_BYTES`].
pub(crate) const LARGE_LOOKUP: &str = "/lookup/large";
/// The same after [`SLOW_TIME`].
pub(crate) const SLOW_LARGE_LOOKUP: &str = "/lookup/slow-large";
/// Size of a large response, more than the socket buffers of one connection hold (4 MiB).
pub(crate) const LARGE_RESPONSE_BYTES: usize = 8 << 20;

/// Time for which the server holds a slow request, so that many are open at once.
const SLOW_TIME: Duration = Duration::from_secs(2);
const HEALTH_PATH: &str = "/health";
const SERVICE: &str = "plain";
/// Number of servers, so that one that is out of use for a moment is not the only one.
const SERVERS: usize = 4;
/// Requests that each server runs at the same time, and connections to it.
const SERVER_SLOTS: usize = 128;
/// Value with which a server marks its answers.
const SIGNATURE: &str = "signed";

/// Simulated platform of one test.
pub(crate) struct SmallSite {
    pub(crate) store_address: SocketAddr,
    pool: Arc<WorkerPool>,
    /// Process whose new connections to the servers are closed; 0 for none.
    refused_process: Arc<AtomicU32>,
}

impl SmallSite {
    /// Starts the store and the servers; bodies may have `max_body_bytes`.
    pub(crate) fn start(host: Ipv4Addr, max_body_bytes: usize) -> Self {
        let pool = WorkerPool::start("small-site", 2).unwrap();
        let refused_process = Arc::new(AtomicU32::new(0));
        let started = SimulatedStore::start(&pool, host);
        let store = futures_lite::future::block_on(started).unwrap();
        let spec = configuration(max_body_bytes);
        let (kind, name) = (ObjectKind::Configuration, ObjectKind::CONFIGURATION_NAME);
        store.put(kind, name, spec, Value::Null);
        let finder = Arc::new(SocketFinder::open().unwrap());
        for number in 0..SERVERS {
            let (refused, finder) = (refused_process.clone(), finder.clone());
            let is_refused = move |ends| match refused.load(Ordering::SeqCst) {
                0 => false,
                process => is_client(process, &finder, ends),
            };
            let address = serve(&pool, host, is_refused, run_request);
            let (spec, status) = server_entry(number, address);
            store.put(ObjectKind::Servers, &server_id(number), spec, status);
        }
        Self {
            store_address: store.address,
            pool,
            refused_process,
        }
    }

    /// Closes all new connections of a process to the servers from now on.
    pub(crate) fn refuse_process(&self, process: u32) {
        self.refused_process.store(process, Ordering::SeqCst);
    }
}

/// Whether a process has opened a connection; true if the connection is closed already.
fn is_client(process: u32, finder: &SocketFinder, ends: ConnectionEnds) -> bool {
    let socket = finder.find(ends).unwrap();
    socket.is_none_or(|socket| open_sockets(process).contains(&socket))
}

impl Drop for SmallSite {
    fn drop(&mut self) {
        self.pool.stop();
    }
}

/// Reads a request to its end without keeping its body, and answers it.
async fn run_request(request: Request<Incoming>) -> Reply {
    let (head, mut body) = request.into_parts();
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return reply_with(StatusCode::BAD_REQUEST, "");
        }
    }
    let path = head.uri.path();
    if [SLOW_LOOKUP, SLOW_UPLOAD, SLOW_LARGE_LOOKUP].contains(&path) {
        async_io::Timer::after(SLOW_TIME).await;
    }
    let body = match [LARGE_LOOKUP, SLOW_LARGE_LOOKUP].contains(&path) {
        true => Bytes::from_static(&[0; LARGE_RESPONSE_BYTES]),
        false => Bytes::from_static(b"done"),
    };
    let mut reply = reply_with(StatusCode::OK, body);
    let headers = RequestHeaders::from(&head.headers);
    let answer = AnswerHeaders {
        request_id: headers.request_id.as_ref(),
        signature: Some(SIGNATURE),
        ..AnswerHeaders::default()
    };
    answer.set(reply.headers_mut());
    reply
}

fn configuration(max_body_bytes: usize) -> Value {
    let route = |prefix: &str, idempotent| RouteRule {
        name: prefix.trim_matches('/').into(),
        prefix: prefix.into(),
        idempotent,
        timeout: Duration::from_secs(40),
        target_latency: Duration::from_secs(5),
        priority: 0,
        split: vec![WeightedService {
            service: SERVICE.into(),
            weight: 1.0,
        }],
        max_attempts: 2,
    };
    let rules = vec![route(LOOKUP_PREFIX, true), route(UPLOAD_PREFIX, false)];
    let service = ServiceConfig {
        name: SERVICE.into(),
        health_path: HEALTH_PATH.into(),
        max_connections: SERVER_SLOTS,
        keyed: false,
        warmup: Duration::ZERO,
        cold_time: Duration::ZERO,
        cold_rate: None,
    };
    let limits = RequestLimits {
        max_head_bytes: 16_384,
        max_body_bytes,
        head_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(15),
    };
    let hosts = IndexMap::from([(HOST.into(), rules)]);
    let services = IndexMap::from([(SERVICE.into(), service)]);
    ConfigurationBody::write(&RouteTable::new(1, hosts, services, limits)).unwrap()
}

/// Value and status of a server's entry.
fn server_entry(number: usize, address: SocketAddr) -> (Value, Value) {
    let now = std::time::SystemTime::now();
    let born = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    ServerBody::write(&ServerEntry {
        incarnation: ServerIncarnation {
            id: server_id(number),
            born,
        },
        service: SERVICE.into(),
        address,
        data_centre: "dc1".into(),
        slots: SERVER_SLOTS as u32,
        state: ServerState::Ready,
        warmup_left: Duration::ZERO,
        sequence: None,
    })
}

fn server_id(number: usize) -> String {
    format!("s-{number}")
}
