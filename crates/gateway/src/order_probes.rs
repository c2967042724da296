//! Asks servers that get no keys whether they answer orders again.
//!
//! A server that owns keys is asked by its renewals. One without keys gets no orders, so its exclusion
//! would outlast its cause: it is probed with a release of one key under the fence of the last order
//! that it was sent. The record names the server for no keys, so a release takes nothing from it. One
//! that is carried out late, twice or by a later incarnation stops work on one key at most, until the
//! next renewal; unlike a grant it never gives a server keys.
//!
//! Each probe opens a connection, so that its answer can be no copy of an earlier one.

use crate::{
    leader_worker::LeaderLoopState, order_results::record_result, order_sender, prelude::*,
    server_runtime::OrderKey,
};
use std::cell::LazyCell;

/// Limits of a probe, with the opening of its connection.
const LIMITS: ExchangeLimits = ExchangeLimits {
    timeout: Duration::from_millis(500),
    ..order_sender::RELEASE_LIMITS
};

/// Starts the probes that are due as tasks.
pub(crate) fn send_due(node: &Arc<GatewayNode>, service: &str, state: &mut LeaderLoopState) {
    let urgency = match state.planned_servers.is_empty() {
        true => ProbeUrgency::Urgent,
        false => ProbeUrgency::Usual,
    };
    let named = LazyCell::new(|| named_servers(node, service));
    let is_idle = |server: &ServerIncarnation| !named.contains(server);
    let due = state.exclusions.begin_probes(is_idle, urgency, node.now());
    for incarnation in due {
        let Some(server) = node.server(&incarnation) else {
            continue;
        };
        let work = probe(node.clone(), service.into(), server);
        node.workers.spawn(work);
    }
}

/// Servers that the record names, which get other orders.
fn named_servers(node: &GatewayNode, service: &str) -> IndexSet<ServerIncarnation> {
    node.with_key_view(service, |view| {
        let record = view.leader.record().map(|(record, _)| record);
        let named = record.into_iter().flat_map(KeyRecord::owners_and_holders);
        named.cloned().collect()
    })
}

/// Probes a server, and records whether it answers.
async fn probe(node: Arc<GatewayNode>, service: String, server: Arc<ServerRuntime>) {
    let Some(OrderKey { key, fence }) = server.last_order() else {
        return;
    };
    let range = KeyRange {
        first: key,
        last: key,
        fence,
        owner: server.incarnation().clone(),
        state: RangeState::Settled,
    };
    // A client of its own has no connection to reuse.
    let address = server.entry.address;
    let client = HttpClient::new(node.workers.clone(), TcpDialer::direct(), address);
    let request = order_sender::release_request(&server, &range);
    let response = client.exchange_within(request, LIMITS).await;
    record_result(&node, &service, &server, &range, "probe", &response);
    node.order_finished.notify(usize::MAX);
}
