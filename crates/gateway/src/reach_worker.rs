//! Finds out whether this instance still reaches the servers of each data centre.

use crate::{prelude::*, warmup_worker};
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{HeaderValue, header};
use rand::seq::IteratorRandom;

/// Number of servers that are asked before a data centre counts as lost.
const CHECKED_SERVERS: usize = 5;
/// Number of servers that are asked whether a lost data centre is reached again.
const PROBED_SERVERS: usize = 2;
/// Time that a checked server has for its answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(450);
/// Time without an answer that leads to a check, as a multiple of the server's mean service time.
const SILENCE_FACTOR: u32 = 3;
/// Shortest such time.
const MIN_SILENCE: Duration = Duration::from_millis(400);
/// Time between the servers of one check: mostly the first one's answer is enough.
const CHECK_STAGGER: Duration = Duration::from_millis(40);
/// Time between checks of a lost data centre.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Largest answer to a check, in bytes.
const MAX_CHECK_BYTES: usize = 64 << 10;

/// Records that an attempt at `server` failed, and starts a check if that is due.
pub(crate) fn record_failure(node: &Arc<GatewayNode>, server: &ServerEntry, failure: ReachFailure) {
    let centre = server.data_centre.as_str();
    let step = node
        .reach
        .lock()
        .record_failure(centre, failure, node.now());
    if step == ReachStep::Check {
        node.workers.spawn(check(node.clone(), centre.into()));
    }
}

/// Waits until `server`, which has a request of this instance, is out of reach and silent. Checks
/// that if the request stays unanswered for long.
pub(crate) async fn wait_until_lost(node: &Arc<GatewayNode>, server: &ServerRuntime) {
    let service_time = Duration::from_secs_f64(server.load.lock().service_time().0);
    Timer::after((service_time * SILENCE_FACTOR).max(MIN_SILENCE)).await;
    record_failure(node, &server.entry, ReachFailure::Silent);
    loop {
        let checked = node.reach_checked.listen();
        let is_lost = node.reach.lock().is_lost(&server.entry.data_centre);
        if is_lost && server.load.lock().is_silent(node.now()) {
            return;
        }
        checked.await;
    }
}

/// Checks the servers of a data centre, and goes on until they are reached.
async fn check(node: Arc<GatewayNode>, centre: String) {
    let is_reached = is_any_reached(&node, &centre, CHECKED_SERVERS).await;
    apply_check(&node, &centre, is_reached);
    while node.reach.lock().is_lost(&centre) {
        Timer::after(PROBE_INTERVAL).await;
        let is_reached = is_any_reached(&node, &centre, PROBED_SERVERS).await;
        apply_check(&node, &centre, is_reached);
    }
}

fn apply_check(node: &GatewayNode, centre: &str, is_reached: bool) {
    let now = node.now();
    let change = node.reach.lock().record_check(centre, is_reached, now);
    match change {
        ReachChange::None => {}
        ReachChange::Lost => {
            log::warn!(centre; "servers of a data centre are out of reach");
            metrics::counter!(REACH_LOSSES).increment(1);
            for server in servers_of(node, centre) {
                server.pool.clear();
            }
        }
        ReachChange::Regained(after) => {
            let away_ms = after.as_millis() as u64;
            log::info!(centre, away_ms; "servers of a data centre are reached again");
        }
    }
    node.reach_checked.notify(usize::MAX);
    if change != ReachChange::None {
        node.heartbeat_due.notify(usize::MAX);
    }
}

/// Waits until the running check of a data centre, if there is one, has a result.
pub(crate) async fn wait_for_check(node: &GatewayNode, centre: &str) {
    loop {
        let checked = node.reach_checked.listen();
        if !node.reach.lock().is_checking(centre) {
            return;
        }
        checked.await;
    }
}

/// Whether any of up to `count` servers of a data centre answers on a new connection.
async fn is_any_reached(node: &GatewayNode, centre: &str, count: usize) -> bool {
    let servers = servers_of(node, centre);
    let chosen = servers.iter().sample(&mut rand::rng(), count);
    if chosen.is_empty() {
        return true;
    }
    let mut answers: FuturesUnordered<_> = chosen
        .into_iter()
        .enumerate()
        .map(|(position, server)| async move {
            Timer::after(CHECK_STAGGER * position as u32).await;
            does_answer(node, server).await
        })
        .collect();
    while let Some(is_answered) = answers.next().await {
        if is_answered {
            return true;
        }
    }
    false
}

/// Whether a server gives any answer to its health check on a new connection.
async fn does_answer(node: &GatewayNode, server: &ServerRuntime) -> bool {
    let Some(path) = health_path(node, server) else {
        return false;
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path;
    let host = HeaderValue::from_static("server");
    request.headers_mut().insert(header::HOST, host);
    let exchange = async {
        let dialer = TcpDialer::direct();
        let address = server.entry.address;
        let open = HttpConnection::open(&node.workers, &dialer, address, CHECK_TIMEOUT);
        let mut connection = open.await.ok()?;
        connection.exchange(request, MAX_CHECK_BYTES).await.ok()
    };
    let timed_out = async {
        Timer::after(CHECK_TIMEOUT).await;
        None
    };
    let Some(response) = future::or(exchange, timed_out).await else {
        return false;
    };
    warmup_worker::apply_headers(node, server, response.headers());
    true
}

/// Path of a server's health check, if the configuration names a readable one.
fn health_path(node: &GatewayNode, server: &ServerRuntime) -> Option<http::Uri> {
    let table = node.route_table()?;
    let config = table.services().get(&server.entry.service)?;
    config.health_path.parse().ok()
}

fn servers_of(node: &GatewayNode, centre: &str) -> Vec<Arc<ServerRuntime>> {
    let lists = node.usable.lock();
    let servers = lists.values().flat_map(|list| list.iter());
    servers
        .filter(|server| {
            let rests = !server.load.lock().rest_left(node.now()).is_zero();
            let is_checkable = health_path(node, server).is_some();
            server.entry.data_centre == centre && !rests && is_checkable
        })
        .cloned()
        .collect()
}
