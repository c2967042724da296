//! What a leader plans when servers leave orders unanswered.

use crate::{
    key_view::KeyView, leader_worker::LeaderLoopState, move_planner, prelude::*, record_worker,
    test_node, test_objects, test_store,
};

pub(crate) const SERVICE: &str = "s";

/// Fence that the only range has at first.
const FENCE: u64 = 1;

/// Time over which orders stay unanswered until their server counts as unresponsive, and more.
const FAILING_TIME: Duration = Duration::from_secs(1);

/// Leader whose record names the servers `owners`, and a store that takes its next write.
pub(crate) fn leader_of(owners: &[&str]) -> Arc<GatewayNode> {
    let written = PlatformObject {
        name: format!("{}{SERVICE}", KeyView::PREFIX),
        revision: 6.into(),
        spec: serde_json::Value::Null,
        status: serde_json::Value::Null,
    };
    let store = test_store::start(vec![(200, written.to_value())]);
    let node = Arc::new(test_node::build_with_store(store));
    let mut record = KeyRecord::new(SERVICE, node.own_incarnation.clone());
    let shares = owners.iter().map(|id| (test_objects::ready_entry(id), 1.0));
    let shares: Vec<_> = shares
        .map(|(entry, share)| (entry.incarnation, share))
        .collect();
    record.distribute(&shares);
    for range in &mut record.ranges {
        range.state = RangeState::Settled;
    }
    record_worker::adopt(&node, SERVICE, record, 5.into());
    node
}

/// Has the leader learn of a server at a closed port.
pub(crate) fn put_server(node: &GatewayNode, id: &str, revision: u64) -> Arc<ServerRuntime> {
    let address = test_objects::ready_entry(id).address;
    put_server_at(node, id, address, revision)
}

/// Has the leader learn of a server at `address`.
pub(crate) fn put_server_at(
    node: &GatewayNode,
    id: &str,
    address: SocketAddr,
    revision: u64,
) -> Arc<ServerRuntime> {
    let entry = ServerEntry {
        address,
        ..test_objects::ready_entry(id)
    };
    test_objects::put_server(node, &entry, revision);
    node.server(&entry.incarnation).unwrap()
}

/// Records that the server has left orders unanswered for some time.
pub(crate) fn leave_orders_unanswered(node: &GatewayNode, server: &ServerRuntime) {
    let now = node.now();
    for at in [now.before(FAILING_TIME), now] {
        server.with_order_health(|health| health.record_failure(OrderFailure::Silent, at));
    }
}

/// Plans once, with the leadership just confirmed; returns the record after it.
fn plan(node: &Arc<GatewayNode>) -> KeyRecord {
    let now = node.now();
    node.with_key_view(SERVICE, |view| view.leader.confirm_leadership(now));
    let mut state = LeaderLoopState::new(MonoTime::default());
    let work = move_planner::plan(node, SERVICE, &mut state);
    node.workers.block_on(work);
    node.with_key_view(SERVICE, |view| view.leader.record().unwrap().0.clone())
}

// Guards against a service without holders of keys for good: when all its servers had left orders
// unanswered at the same time, no range got the new fence without which none of them is granted keys.
#[test]
fn range_gets_a_new_fence_when_no_server_may_take_it_over() {
    let node = leader_of(&["s1"]);
    let server = put_server(&node, "s1", 2);
    server.grants.block_fence(FENCE);
    leave_orders_unanswered(&node, &server);
    let record = plan(&node);
    let range = &record.ranges[0];
    assert_eq!(range.owner, *server.incarnation());
    assert!(range.fence > FENCE, "the range keeps its used fence");
}

// Guards against new fences for ranges that move anyway: each costs a grant under it.
#[test]
fn range_of_an_unresponsive_server_moves_while_another_may_take_it_over() {
    let node = leader_of(&["s1"]);
    let server = put_server(&node, "s1", 2);
    let other = put_server(&node, "s2", 3);
    server.grants.block_fence(FENCE);
    leave_orders_unanswered(&node, &server);
    let record = plan(&node);
    let mut ranges = record.ranges.iter();
    assert!(ranges.all(|range| range.owner == *other.incarnation()));
    let moves = record.ranges.len() as u64;
    assert_eq!(record.last_fence, FENCE + moves, "one fence for each move");
}
