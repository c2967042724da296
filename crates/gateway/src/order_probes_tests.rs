//! Whether servers without keys come back into use.

use crate::{
    leader_worker::LeaderLoopState,
    move_planner,
    move_planner_tests::{self as planner, SERVICE},
    prelude::*,
    server_runtime::OrderKey,
    test_http, test_objects,
};
use http::HeaderMap;
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
};

/// Answers the orders on one connection with a status each.
fn answer_orders(mut stream: TcpStream, status: u16) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while test_http::read_head(&mut reader).is_some() {
        let answer = test_http::answer(status, &HeaderMap::new(), "");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A server that answers all orders with a status.
fn start_server(status: u16) -> SocketAddr {
    test_http::accept_each(move |stream| {
        std::thread::spawn(move || answer_orders(stream, status));
    })
}

/// Leader of keys that `s1` owns, and a server `s2` without keys at `address` that was sent an order.
fn leader_with_idle_server(address: SocketAddr) -> (Arc<GatewayNode>, Arc<ServerRuntime>) {
    let node = planner::leader_of(&["s1"]);
    planner::put_server(&node, "s1", 2);
    let entry = ServerEntry {
        address,
        ..test_objects::ready_entry("s2")
    };
    test_objects::put_server(&node, &entry, 3);
    let server = node.server(&entry.incarnation).unwrap();
    server.record_order(OrderKey { key: 7, fence: 1 });
    (node, server)
}

fn exclusion(node: &GatewayNode, server: &ServerRuntime) -> Option<KeyExclusion> {
    server.with_order_health(|health| health.exclusion(node.now()))
}

/// Plans once, some seconds after the exclusion began.
fn plan_later(node: &Arc<GatewayNode>, server: &ServerRuntime) {
    let now = node.now();
    node.with_key_view(SERVICE, |view| view.leader.confirm_leadership(now));
    let mut state = LeaderLoopState::new(MonoTime::default());
    let excluded = (server.incarnation(), exclusion(node, server));
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
        while exclusion(node, server).is_some() {
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
    let (node, server) = leader_with_idle_server(start_server(200));
    planner::leave_orders_unanswered(&node, &server);
    assert_eq!(exclusion(&node, &server), Some(KeyExclusion::Unresponsive));
    assert!(is_taken_back(&node, &server));
}

// Guards against the same after orders that were called invalid.
#[test]
fn rejecting_server_without_keys_is_taken_back_when_it_accepts() {
    let (node, server) = leader_with_idle_server(start_server(200));
    server.with_order_health(|health| {
        health.record_acceptance();
        health.record_rejection();
    });
    assert_eq!(exclusion(&node, &server), Some(KeyExclusion::Rejecting));
    assert!(is_taken_back(&node, &server));
}

// Guards against probes of owners: a probe is a release.
#[test]
fn owner_of_keys_is_not_probed() {
    let (node, _) = leader_with_idle_server(start_server(200));
    let address = start_server(200);
    let entry = ServerEntry {
        address,
        ..test_objects::ready_entry("s1")
    };
    test_objects::put_server(&node, &entry, 4);
    let owner = node.server(&entry.incarnation).unwrap();
    owner.record_order(OrderKey { key: 7, fence: 1 });
    planner::leave_orders_unanswered(&node, &owner);
    plan_later(&node, &owner);
    let settled = Timer::after(Duration::from_millis(300));
    node.workers.block_on(settled);
    assert_eq!(exclusion(&node, &owner), Some(KeyExclusion::Unresponsive));
}
