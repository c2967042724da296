//! Routes and services that the simulated platform configures.

use crate::prelude::*;

/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Path of the servers' health checks.
pub(crate) const HEALTH_PATH: &str = "/health";
/// Service whose requests carry no key.
pub(crate) const PLAIN_SERVICE: &str = "plain";
/// Service whose servers own keys exclusively.
pub(crate) const KEYED_SERVICE: &str = "keyed";
/// Services between which each configuration change moves the probed route; so many that the
/// revisions of the last seconds are told apart.
pub(crate) const PROBED_SERVICES: [&str; 8] = [
    "probe-a", "probe-b", "probe-c", "probe-d", "probe-e", "probe-f", "probe-g", "probe-h",
];
/// Number of revisions that have a passing route: each revision adds one and removes another.
pub(crate) const PASSING_REVISIONS: u64 = 3;
/// Largest number of servers that one request may be sent to.
pub(crate) const MAX_ATTEMPTS: u32 = 2;
/// Timeout of all routes.
pub(crate) const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

/// First revision that has the idle routes, so that one change adds them all.
const FIRST_IDLE_REVISION: u64 = 3;

/// Builds the configuration of a revision; each revision moves the probed route to the next service,
/// adds a passing route and removes another. Nobody sends requests for the idle routes.
pub(crate) fn build_table(revision: u64, idle_routes: usize) -> RouteTable {
    let route = |name: &str, service: &str, idempotent: bool| RouteRule {
        name: name.into(),
        prefix: format!("/{name}/"),
        idempotent,
        timeout: ROUTE_TIMEOUT,
        target_latency: Duration::from_millis(500),
        priority: u32::from(!idempotent),
        split: vec![WeightedService {
            service: service.into(),
            weight: 1.0,
        }],
        max_attempts: MAX_ATTEMPTS,
    };
    let mut rules = vec![
        route("lookup", PLAIN_SERVICE, true),
        route("order", PLAIN_SERVICE, false),
        route("keyed-lookup", KEYED_SERVICE, true),
        route("keyed-order", KEYED_SERVICE, false),
        route("probe", probed_service(revision), true),
    ];
    let idle_routes = match revision < FIRST_IDLE_REVISION {
        true => 0,
        false => idle_routes,
    };
    rules.extend((0..idle_routes).map(|number| {
        // Idle routes with names alike would be compressed to almost nothing.
        let name = format!(
            "idle-{:016x}",
            xxhash_rust::xxh3::xxh3_64(&number.to_be_bytes())
        );
        route(&name, PLAIN_SERVICE, true)
    }));
    let passing = (1..=revision).filter(|added| has_passing(revision, *added));
    rules.extend(passing.map(|added| route(&format!("passing-{added}"), PLAIN_SERVICE, true)));
    let service = |name: &str| ServiceConfig {
        name: name.into(),
        health_path: HEALTH_PATH.into(),
        max_connections: 64,
        keyed: name == KEYED_SERVICE,
        warmup: Duration::ZERO,
        cold_time: Duration::ZERO,
        cold_rate: Some(SoakPlan::COLD_RATE),
    };
    let names = [PLAIN_SERVICE, KEYED_SERVICE]
        .into_iter()
        .chain(PROBED_SERVICES);
    let limits = RequestLimits {
        max_head_bytes: 16 << 10,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(20),
    };
    RouteTable::new(
        revision,
        IndexMap::from([(HOST.into(), rules)]),
        names.map(|name| (name.into(), service(name))).collect(),
        limits,
    )
}

/// Returns the service of the probed route in a revision.
pub(crate) fn probed_service(revision: u64) -> &'static str {
    PROBED_SERVICES[revision as usize % PROBED_SERVICES.len()]
}

/// Whether a revision has the passing route that the revision `added` has added.
pub(crate) fn has_passing(revision: u64, added: u64) -> bool {
    (added..added + PASSING_REVISIONS).contains(&revision)
}

/// Returns the services to which any configuration sends a kind of request.
pub(crate) fn services(kind: RequestKind) -> &'static [&'static str] {
    match kind {
        RequestKind::Lookup | RequestKind::Order | RequestKind::Passing(_) => &[PLAIN_SERVICE],
        RequestKind::KeyedLookup | RequestKind::KeyedOrder => &[KEYED_SERVICE],
        RequestKind::Probe => &PROBED_SERVICES,
    }
}

/// Returns the path prefix of the route for a kind of request.
pub(crate) fn route_prefix(kind: RequestKind) -> String {
    let name = match kind {
        RequestKind::Lookup => "lookup",
        RequestKind::Order => "order",
        RequestKind::KeyedLookup => "keyed-lookup",
        RequestKind::KeyedOrder => "keyed-order",
        RequestKind::Probe => "probe",
        RequestKind::Passing(added) => return format!("/passing-{added}/"),
    };
    format!("/{name}/")
}
