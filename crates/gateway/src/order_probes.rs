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
    leader_worker::LeaderLoopState, order_results::record_result, prelude::*,
    server_runtime::OrderKey,
};
use std::cell::LazyCell;

/// Longest time from the opening of the connection to the answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer to a probe, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Starts the probes that are due as tasks.
pub(crate) fn send_due(node: &Arc<GatewayNode>, service: &str, state: &mut LeaderLoopState) {
    let urgency = match state.planned_servers.is_empty() {
        true => ProbeUrgency::Urgent,
        false => ProbeUrgency::Usual,
    };
    let owners = LazyCell::new(|| owners_and_holders(node, service));
    let is_idle = |server: &ServerIncarnation| !owners.contains(server);
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
fn owners_and_holders(node: &GatewayNode, service: &str) -> IndexSet<ServerIncarnation> {
    node.with_key_view(service, |view| {
        let ranges = view.leader.record().map(|(record, _)| &record.ranges);
        let mut named = IndexSet::new();
        for range in ranges.into_iter().flatten() {
            named.insert(range.owner.clone());
            if let RangeState::Moving {
                previous: Some(holder),
            } = &range.state
            {
                named.insert(holder.clone());
            }
        }
        named
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
    let timeout = async {
        Timer::after(TIMEOUT).await;
        Err(ExchangeError::TimedOut)
    };
    let response = future::or(ask(&node, &server, &range), timeout).await;
    record_result(&node, &service, &server, &range, "probe", &response);
    node.order_finished.notify(usize::MAX);
}

async fn ask(
    node: &GatewayNode,
    server: &ServerRuntime,
    range: &KeyRange,
) -> Result<Response<Bytes>, ExchangeError> {
    let order = ReleaseOrder {
        server_id: &range.owner.id,
        first: range.first,
        last: range.last,
        fence: range.fence,
    };
    let dialer = TcpDialer::direct();
    let address = server.entry.address;
    let mut connection = HttpConnection::open(&node.workers, &dialer, address, TIMEOUT).await?;
    let request = order.to_request().map(Full::new);
    connection.exchange(request, MAX_ANSWER_BYTES).await
}
