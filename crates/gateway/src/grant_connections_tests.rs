//! Which fences are sent over which connections to a server.

use crate::{
    grant_connections::ConnectError, prelude::*, record_worker, test_http, test_node, test_objects,
    test_store,
};
use std::{
    net::{Shutdown, TcpStream},
    sync::Mutex,
};

/// Time after which an instance has seen its connections end, in milliseconds.
const SETTLE_MS: u64 = 100;

/// Server at whose address a process may end and another one start at once.
struct RestartingServer {
    address: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl RestartingServer {
    fn start() -> Self {
        let streams = Arc::new(Mutex::new(Vec::new()));
        let accepted = streams.clone();
        let address = test_http::accept_each(move |stream| accepted.lock().unwrap().push(stream));
        Self { address, streams }
    }

    /// Closes the connection that was opened first.
    fn close_first(&self) {
        self.wait_for_streams(2);
        let first = self.streams.lock().unwrap().remove(0);
        first.shutdown(Shutdown::Both).unwrap();
    }

    /// Waits until so many connections are accepted: a connect completes before.
    fn wait_for_streams(&self, count: usize) {
        while self.streams.lock().unwrap().len() < count {
            std::thread::yield_now();
        }
    }

    /// Ends all of so many connections, as the end of their process does; later ones lead to the next one.
    fn restart(&self, connections: usize) {
        self.wait_for_streams(connections);
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).unwrap();
        }
    }
}

/// Fence of the grants in these tests.
const FENCE: u64 = 7;

/// Server and an instance that has granted it keys over its only connection.
fn granted_server() -> (RestartingServer, Arc<GatewayNode>, Arc<ServerRuntime>) {
    let process = RestartingServer::start();
    let node = leader_node(&test_node::build().own_incarnation);
    let server = test_objects::server_at(&node, process.address);
    assert!(use_connection(&node, &server, FENCE));
    (process, node, server)
}

/// Instance that leads the keys of the servers' service, in a store that names `stored` as the leader.
fn leader_node(stored: &InstanceIncarnation) -> Arc<GatewayNode> {
    let service = test_objects::server_entry(ServerState::Ready).service;
    let record = |leader: &InstanceIncarnation| KeyRecord::new(&service, leader.clone());
    let object = PlatformObject {
        name: format!("{}{service}", KeyView::PREFIX),
        revision: 5.into(),
        spec: RecordBody::write(&StoredRecord::from(&record(stored))).unwrap(),
        status: serde_json::Value::Null,
    };
    let answers = vec![(200, object.to_value()); 8];
    let node = Arc::new(test_node::build_with_store(test_store::start(answers)));
    let own = record(&node.own_incarnation);
    record_worker::adopt(&node, &service, own, 4.into());
    node
}

/// Takes a connection for a grant and puts it back, as an order does that is answered. Returns whether
/// the fence may be sent.
fn use_connection(node: &Arc<GatewayNode>, server: &ServerRuntime, fence: u64) -> bool {
    let taken = node
        .workers
        .block_on(server.grants.take(node, server, fence));
    match taken {
        Ok(connection) => {
            server.grants.keep_answered(connection, None, node.now());
            true
        }
        Err(ConnectError::FenceUsed) => false,
        Err(error) => panic!("{error:?}"),
    }
}

fn wait(node: &GatewayNode, millis: u64) {
    let timer = Timer::after(Duration::from_millis(millis));
    node.workers.block_on(timer);
}

// Guards against grants under an old fence to a server that ended and started again between two
// renewals: the closed connection is the only sign of it, and the store may list the earlier
// incarnation for as long as the new one has not written its entry.
#[test]
fn no_fence_is_sent_again_over_a_connection_opened_later() {
    let (process, node, server) = granted_server();
    assert!(
        use_connection(&node, &server, FENCE),
        "the connection is open"
    );
    assert!(!server.grants.needs_new_fence(FENCE));
    process.restart(1);
    wait(&node, SETTLE_MS);
    assert!(!use_connection(&node, &server, FENCE));
    assert!(server.grants.needs_new_fence(FENCE));
    assert!(
        !use_connection(&node, &server, FENCE - 1),
        "a lower one neither"
    );
    assert!(!server.grants.needs_new_fence(FENCE + 1));
    assert!(use_connection(&node, &server, FENCE + 1));
}

// Guards against the same after a connection that was refused or broke, and against answers that
// end the doubt although the new process may have given them.
#[test]
fn neither_failures_nor_answers_allow_a_fence_again() {
    for failure in [
        None,
        Some(OrderFailure::Refused),
        Some(OrderFailure::Broken),
        Some(OrderFailure::Silent),
    ] {
        let (process, node, server) = granted_server();
        process.restart(1);
        wait(&node, SETTLE_MS);
        if let Some(failure) = failure {
            server.with_order_health(|health| health.record_failure(failure, node.now()));
        }
        assert!(!use_connection(&node, &server, FENCE), "{failure:?}");
        server.with_order_health(OrderHealth::record_answer);
        assert!(
            !use_connection(&node, &server, FENCE),
            "{failure:?}, answered"
        );
    }
}

// Guards against a fence that was sent over an earlier connection while a later one was being opened.
#[test]
fn fence_sent_while_another_connection_is_open_is_bound_to_the_first() {
    let (process, node, server) = granted_server();
    let first = node
        .workers
        .block_on(server.grants.take(&node, &server, FENCE));
    assert!(
        use_connection(&node, &server, FENCE + 1),
        "a new connection"
    );
    drop(first);
    process.restart(2);
    wait(&node, SETTLE_MS);
    assert!(!use_connection(&node, &server, FENCE + 1));
    assert!(use_connection(&node, &server, FENCE + 2));
}

// Guards against a former leader that wakes up and grants keys under a fence that it has not sent yet: a
// server that has started again does not know the later leader's fences.
#[test]
fn new_connection_carries_no_fence_unless_the_store_confirms_the_leader() {
    let other = InstanceIncarnation {
        instance: "a2".into(),
        incarnation: 1,
    };
    let process = RestartingServer::start();
    let node = leader_node(&other);
    let server = test_objects::server_at(&node, process.address);
    let taken = node
        .workers
        .block_on(server.grants.take(&node, &server, FENCE));
    assert!(matches!(taken, Err(ConnectError::Unconfirmed)));

    let (process, node, server) = granted_server();
    for _ in 0..2 {
        node.store.health.record_failure(node.now(), "test");
    }
    process.restart(1);
    wait(&node, SETTLE_MS);
    let taken = node
        .workers
        .block_on(server.grants.take(&node, &server, FENCE + 1));
    assert!(matches!(taken, Err(ConnectError::Unconfirmed)), "no store");
}

// Guards against keys of a living server without a holder for the rest of an outage, since it closes
// a connection as servers do now and then.
#[test]
fn standby_connection_is_used_after_the_server_closed_the_first_one() {
    let (process, node, server) = granted_server();
    let taken = node
        .workers
        .block_on(server.grants.take(&node, &server, FENCE));
    let standby = server.grants.open_standby(&node, &server);
    let standby = node.workers.block_on(standby);
    assert!(standby.is_some());
    server
        .grants
        .keep_answered(taken.unwrap(), standby, node.now());
    process.close_first();
    wait(&node, SETTLE_MS);
    assert!(use_connection(&node, &server, FENCE));
}
