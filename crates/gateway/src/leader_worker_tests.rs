//! When a leader renews grants.

use crate::{
    leader_worker::{self, LeaderLoopState},
    move_planner_tests as planner,
    prelude::*,
    record_restorer_tests::{self, SERVICE},
    test_objects, test_store,
};
use std::net::TcpListener;

// Guards against keys without a holder at the beginning of an outage: the renewals of their grants
// waited for a write of the record to a store that does not answer.
#[test]
fn grants_are_renewed_while_a_write_of_the_record_waits_for_the_store() {
    let silent_store = TcpListener::bind("127.0.0.1:0").unwrap();
    let store_address = silent_store.local_addr().unwrap();
    let node = record_restorer_tests::node_with_restored_store(None, store_address);
    let entry = ServerEntry {
        address: test_store::start(vec![(200, serde_json::json!({})); 8]),
        ..test_objects::server_entry(ServerState::Ready)
    };
    test_objects::put_server(&node, &entry, 2);
    let server = node.server(&entry.incarnation).unwrap();
    node.workers
        .block_on(server.grants.keep_new(&node, &server));

    let mut state = LeaderLoopState::new(node.now());
    let cycle = async {
        leader_worker::run_cycle(&node, SERVICE, &mut state).await;
        false
    };
    let renewed_again = async {
        wait_until(|| is_renewed(&node)).await;
        let renewed_at = node.now();
        wait_until(|| may_be_valid(&node, renewed_at.after(FIRST_GRANT_ENDED))).await;
        true
    };
    let is_renewed_first = node.workers.block_on(future::or(renewed_again, cycle));
    assert!(is_renewed_first, "the write of the record ended first");
}

/// Time after the sending of a grant at which it has expired for certain, but not one that is sent a
/// renewal interval later.
const FIRST_GRANT_ENDED: Duration = Duration::from_secs(3);

async fn wait_until(is_done: impl Fn() -> bool) {
    while !is_done() {
        Timer::after(Duration::from_millis(5)).await;
    }
}

fn is_renewed(node: &GatewayNode) -> bool {
    let now = node.now();
    node.with_key_view(SERVICE, |view| {
        assert!(view.leader.has_authority(now));
        view.leader.due_renewals(now).is_empty()
    })
}

/// Whether a grant of the only range may be valid at a time.
fn may_be_valid(node: &GatewayNode, at: MonoTime) -> bool {
    node.with_key_view(SERVICE, |view| {
        let (record, _) = view.leader.record().unwrap();
        let range = &record.ranges[0];
        !view.leader.has_no_grant(&range.owner, range.fence, at)
    })
}

// Guards against keys that move away from sound servers when an instance leads again: what their orders
// had told in its earlier term was still believed, although they had answered to others since.
#[test]
fn new_term_begins_without_doubts_of_an_earlier_one() {
    let node = planner::leader_of(&["s1"]);
    let server = planner::put_server(&node, "s1", 2);
    planner::leave_orders_unanswered(&node, &server);
    let exclusion = || server.key_exclusion(node.now());
    assert_eq!(exclusion(), Some(KeyExclusion::Unresponsive));
    let mut state = LeaderLoopState::new(node.now());
    let cycle = leader_worker::run_cycle(&node, planner::SERVICE, &mut state);
    node.workers.block_on(cycle);
    assert_eq!(exclusion(), None);
}
