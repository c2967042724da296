//! Whether servers without keys come back into use.

use crate::{
    leader_worker::LeaderLoopState,
    move_planner,
    move_planner_tests::{self as planner, SERVICE},
    prelude::*,
    server_runtime::OrderKey,
    test_http,
};
use http::HeaderMap;
use std::{
    io::{BufReader, Write},
    net::TcpStream,
};

/// Accepts the orders on one connection.
fn accept_orders(mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while test_http::read_head(&mut reader).is_some() {
        let answer = test_http::answer(200, &HeaderMap::new(), "");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Has the leader learn of a server that accepts all orders and was sent one before.
fn put_accepting(node: &GatewayNode, id: &str, revision: u64) -> Arc<ServerRuntime> {
    let address = test_http::accept_each(|stream| {
        std::thread::spawn(move || accept_orders(stream));
    });
    let server = planner::put_server_at(node, id, address, revision);
    server.record_order(OrderKey { key: 7, fence: 1 });
    server
}

/// Leader of keys that `s1` owns, and a server `s2` without keys.
fn leader_with_idle_server() -> (Arc<GatewayNode>, Arc<ServerRuntime>) {
    let node = planner::leader_of(&["s1"]);
    planner::put_server(&node, "s1", 2);
    let server = put_accepting(&node, "s2", 3);
    (node, server)
}

/// Plans once, some seconds after the exclusion began.
fn plan_later(node: &Arc<GatewayNode>, server: &ServerRuntime) {
    let now = node.now();
    node.with_key_view(SERVICE, |view| view.leader.confirm_leadership(now));
    let mut state = LeaderLoopState::new(MonoTime::default());
    let excluded = (server.incarnation(), server.key_exclusion(now));
    let began_at = now.before(Duration::from_secs(30));
    state.exclusions.update([excluded].into_iter(), began_at);
    let work = move_planner::plan(node, SERVICE, &mut state);
    node.workers.block_on(work);
}

/// Whether the exclusion ends after a plan.
fn is_taken_back(node: &Arc<GatewayNode>, server: &ServerRuntime) -> bool {
    /// Longest wait for the answer to a probe.
    const MAX_WAIT: Duration = Duration::from_secs(10);
    plan_later(node, server);
    let ended = async {
        while server.key_exclusion(node.now()).is_some() {
            Timer::after(Duration::from_millis(5)).await;
        }
        true
    };
    let timed_out = async {
        Timer::after(MAX_WAIT).await;
        false
    };
    node.workers.block_on(future::or(ended, timed_out))
}

// Guards against servers that stand idle for as long as the leader lives: their keys had moved away
// while they left orders unanswered, and without keys they were sent none that they could answer.
#[test]
fn unresponsive_server_without_keys_is_taken_back_when_it_answers() {
    let (node, server) = leader_with_idle_server();
    planner::leave_orders_unanswered(&node, &server);
    assert_eq!(
        server.key_exclusion(node.now()),
        Some(KeyExclusion::Unresponsive)
    );
    assert!(is_taken_back(&node, &server));
}

// Guards against the same after orders that were called invalid.
#[test]
fn rejecting_server_without_keys_is_taken_back_when_it_accepts() {
    let (node, server) = leader_with_idle_server();
    server.with_order_health(|health| {
        health.record_acceptance();
        health.record_rejection();
    });
    assert_eq!(
        server.key_exclusion(node.now()),
        Some(KeyExclusion::Rejecting)
    );
    assert!(is_taken_back(&node, &server));
}

// Guards against probes of owners: a probe is a release.
#[test]
fn owner_of_keys_is_not_probed() {
    let node = planner::leader_of(&["s1"]);
    let owner = put_accepting(&node, "s1", 2);
    planner::leave_orders_unanswered(&node, &owner);
    plan_later(&node, &owner);
    let settled = Timer::after(Duration::from_millis(300));
    node.workers.block_on(settled);
    assert_eq!(
        owner.key_exclusion(node.now()),
        Some(KeyExclusion::Unresponsive)
    );
}
