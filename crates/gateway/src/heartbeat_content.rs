//! What a heartbeat tells of servers.

use crate::{
    peer_heartbeat::{KnownLimit, KnownRest, ServiceTimeReport},
    prelude::*,
};

/// Largest number of servers' limits in a heartbeat, which has to fit one datagram.
pub(crate) const MAX_LIMITS: usize = 40;
/// Largest number of service times in one heartbeat, which has to fit one datagram.
const MAX_SERVICE_TIMES: usize = 24;
/// Largest number of resting servers in a heartbeat, which has to fit one datagram.
const MAX_RESTS: usize = 16;
/// Shortest rest that is reported: moving keys takes about half of that time.
const MIN_REST: Duration = Duration::from_secs(1);
/// Smallest number of samples of a service time that is sent.
const MIN_SAMPLES: u32 = 3;

/// Limits of servers to tell other instances. A leader also passes on what it was told.
pub(crate) fn known_limits(node: &GatewayNode, is_leader: bool, now: MonoTime) -> Vec<KnownLimit> {
    let servers = node.servers.lock();
    let known = servers.values().filter_map(|server| {
        let report = server.quota.lock().limit.report(is_leader, now)?;
        Some(KnownLimit {
            server: server.incarnation().clone(),
            report,
        })
    });
    known.take(MAX_LIMITS).collect()
}

/// Servers that want no requests from this instance for some time, if they may hold keys.
pub(crate) fn known_rests(node: &GatewayNode, now: MonoTime) -> Vec<KnownRest> {
    let mut rests = Vec::new();
    for service in node.keyed_services() {
        for server in node.usable_servers(&service).iter() {
            let left = server.load.lock().rest_left(now);
            if left >= MIN_REST {
                let server = server.incarnation().clone();
                rests.push(KnownRest { server, left });
            }
        }
    }
    rests.truncate(MAX_RESTS);
    rests
}

/// Service times of servers that hold keys; each turn sends the next `MAX_SERVICE_TIMES` of them.
pub(crate) fn collect_service_times(node: &GatewayNode, turn: usize) -> Vec<ServiceTimeReport> {
    let mut service_times = Vec::new();
    for service in node.keyed_services() {
        for server in node.usable_servers(&service).iter() {
            let (service_time, samples) = server.load.lock().service_time();
            if samples >= MIN_SAMPLES {
                service_times.push(ServiceTimeReport {
                    server: server.incarnation().clone(),
                    service_time,
                    samples,
                });
            }
        }
    }
    if service_times.len() > MAX_SERVICE_TIMES {
        let start = turn * MAX_SERVICE_TIMES % service_times.len();
        service_times.rotate_left(start);
        service_times.truncate(MAX_SERVICE_TIMES);
    }
    service_times
}
