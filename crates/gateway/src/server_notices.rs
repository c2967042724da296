//! What servers say of themselves in their answers: that they leave, or want no requests.

use crate::prelude::*;

/// Time for which other instances are told that a server leaves; discovery says so by then.
const TELLING_TIME: Duration = Duration::from_secs(10);
/// Largest number of leaving servers in a heartbeat, which has to fit one datagram.
pub(crate) const MAX_LEAVING: usize = 16;

/// Applies what a verified answer says of its server.
pub(crate) fn apply(
    node: &GatewayNode,
    server: &ServerRuntime,
    headers: &ServerHeaders,
    status: StatusCode,
) {
    let now = node.now();
    if headers.is_leaving {
        apply_leaving(node, server, "answer");
    }
    let rest = headers.retry_after.filter(|_| headers.not_executed);
    if let (StatusCode::SERVICE_UNAVAILABLE, Some(rest)) = (status, rest) {
        server.load.lock().record_rest(rest, now);
        if node.log.allow("rest", now) {
            log::info!(
                server = server.incarnation().id.as_str(),
                service = server.entry.service.as_str(),
                rest_ms = rest.as_millis() as u64;
                "server wants no requests for some time"
            );
        }
    }
}

/// Marks a server that says that it leaves, or of which another instance says so.
pub(crate) fn apply_leaving(node: &GatewayNode, server: &ServerRuntime, source: &'static str) {
    if !server.announce_leaving(node.now()) {
        return;
    }
    log::info!(
        server = server.incarnation().id.as_str(),
        service = server.entry.service.as_str(),
        source;
        "server says that it leaves"
    );
    node.refresh_servers();
    node.heartbeat_due.notify(usize::MAX);
}

/// Servers to tell other instances of: those that said lately that they leave.
pub(crate) fn leaving_servers(node: &GatewayNode, now: MonoTime) -> Vec<ServerIncarnation> {
    let servers = node.servers.lock();
    let leaving = servers.values().filter(|server| {
        let age = server.announcement_age(now);
        age.is_some_and(|age| age < TELLING_TIME)
    });
    let incarnations = leaving.map(|server| server.incarnation().clone());
    incarnations.take(MAX_LEAVING).collect()
}
