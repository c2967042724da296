//! HTTP pages for operators and the load balancer: readiness, metrics and the state dump.

use crate::prelude::*;
use hyper::body::Incoming;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Path of the Prometheus metrics.
const METRICS_PATH: &str = "/metrics";
/// Path of the state dump.
const DUMP_PATH: &str = "/dump";
/// Upper bounds of the histogram buckets for request durations, in seconds.
const DURATION_BUCKETS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// Body of the state dump.
#[derive(Serialize)]
struct StateDump<'a> {
    name: &'a str,
    incarnation: u64,
    is_ready: bool,
    is_stopping: bool,
    open_requests: usize,
    store_lost: bool,
    knowledge_age_ms: u64,
    configuration_revision: Option<u64>,
    routes: usize,
    instances: usize,
    servers: Vec<ServerDump>,
    keys: Vec<KeyDump>,
}

#[derive(Serialize)]
struct ServerDump {
    server: String,
    service: String,
    address: SocketAddr,
    leaving: bool,
    own_requests: u32,
    estimated_requests: f64,
    service_time_ms: f64,
    resting: bool,
    connections: usize,
    limit_per_second: Option<f64>,
    /// Why this instance, as the leader of the keys, gives the server none.
    key_exclusion: Option<&'static str>,
}

#[derive(Serialize)]
struct KeyDump {
    service: String,
    leads: bool,
    confirmed_age_ms: u64,
    revision: String,
    record: KeyRecord,
}

/// Installs the process-wide Prometheus recorder.
pub(crate) fn install_metrics() -> eyre::Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Full(REQUEST_SECONDS.into()), &DURATION_BUCKETS_S)?
        .set_buckets_for_metric(
            Matcher::Full(CONFIGURATION_SECONDS.into()),
            &DURATION_BUCKETS_S,
        )?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)
        .map_err(|_| eyre::eyre!("another metrics recorder is already installed"))?;
    Ok(handle)
}

/// Answers the load balancer's readiness probe.
pub(crate) fn readiness(node: &GatewayNode, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match (request.uri().path() == READINESS_PATH, node.is_ready()) {
        (false, _) => text(StatusCode::NOT_FOUND, "not found\n".into()),
        (true, true) => text(StatusCode::OK, "ready\n".into()),
        (true, false) => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
    }
}

/// Answers a request on the operator address.
pub(crate) fn respond(
    node: &GatewayNode,
    metrics: &PrometheusHandle,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    match request.uri().path() {
        METRICS_PATH => {
            let age = node.knowledge.lock().age(node.now());
            metrics::gauge!(KNOWLEDGE_AGE).set(age.as_secs_f64());
            metrics::gauge!(BODY_MEMORY).set(node.body_memory.used() as f64);
            metrics.run_upkeep();
            text(StatusCode::OK, metrics.render())
        }
        DUMP_PATH => match serde_json::to_string_pretty(&dump(node)) {
            Ok(body) => text(StatusCode::OK, body),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        READINESS_PATH => readiness(node, request),
        _ => text(StatusCode::NOT_FOUND, "not found\n".into()),
    }
}

fn dump(node: &GatewayNode) -> StateDump<'_> {
    let now = node.now();
    let table = node.route_table();
    let servers = node.all_servers();
    let servers = servers.iter().map(|server| {
        let assumptions = node.service(&server.entry.service).load_assumptions("");
        let load = server.load.lock();
        ServerDump {
            server: server.incarnation().to_string(),
            service: server.entry.service.clone(),
            address: server.entry.address,
            leaving: server.leaving_since().is_some(),
            own_requests: load.own_requests(),
            estimated_requests: load.estimated_requests(now, assumptions),
            service_time_ms: load.service_time().0 * 1e3,
            resting: load.is_ejected(now),
            connections: server.pool.open_count(),
            limit_per_second: server.quota.lock().limit.per_second(now),
            key_exclusion: server.key_exclusion(now).map(KeyExclusion::label),
        }
    });
    let keys = node.keys.lock();
    let keys = keys.iter().filter_map(|(service, view)| {
        let (record, revision) = view.leader.record()?;
        Some(KeyDump {
            service: service.clone(),
            leads: view.leader.is_leader(),
            confirmed_age_ms: view
                .leader
                .confirmation_age(now)
                .as_millis()
                .min(u128::from(u64::MAX)) as u64,
            revision: revision.to_string(),
            record: record.clone(),
        })
    });
    StateDump {
        name: &node.settings.name,
        incarnation: node.own_incarnation.incarnation,
        is_ready: node.is_ready(),
        is_stopping: node.is_stopping(),
        open_requests: node.open_calls.count(),
        store_lost: node.store.health.is_unavailable(),
        knowledge_age_ms: node.knowledge.lock().age(now).as_millis() as u64,
        configuration_revision: table.as_ref().map(|table| table.revision()),
        routes: table.as_ref().map_or(0, |table| table.route_count()),
        instances: node.instance_count(),
        servers: servers.collect(),
        keys: keys.collect(),
    }
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
