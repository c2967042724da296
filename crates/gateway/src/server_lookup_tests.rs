//! Selection of servers for single requests.

use crate::{
    attempt_history::AttemptHistory, lookup_outcome::LookupOutcome, prelude::*,
    server_lookup::ServerLookup, test_node, test_objects,
};

const SLOTS: u32 = 4;

/// Instance that knows servers of the service `s` with the given service times, in seconds.
fn node_with_servers(service_times: &[f64]) -> (Arc<GatewayNode>, Vec<Arc<ServerRuntime>>) {
    let node = test_node::build();
    let mut servers = Vec::new();
    for (number, service_time) in service_times.iter().enumerate() {
        let incarnation = ServerIncarnation {
            id: format!("s{number}"),
            born: 1,
        };
        let entry = ServerEntry {
            incarnation: incarnation.clone(),
            slots: SLOTS,
            ..test_objects::server_entry(ServerState::Ready)
        };
        test_objects::put_server(&node, &entry, 1);
        let server = node.server(&incarnation).unwrap();
        for _ in 0..100 {
            let took = Duration::from_secs_f64(*service_time);
            server.load.lock().record_success(took, false);
        }
        servers.push(server);
    }
    (Arc::new(node), servers)
}

/// Request whose target latency has passed, and which may take two more seconds.
pub(crate) fn late_call(now: MonoTime) -> CallerCall {
    CallerCall {
        parts: Request::new(()).into_parts().0,
        body: StoredBody::default(),
        headers: RequestHeaders::default(),
        route: RouteRule {
            name: "order".into(),
            prefix: "/order/".into(),
            idempotent: false,
            timeout: Duration::from_secs(3),
            target_latency: Duration::from_millis(500),
            priority: 1,
            split: Vec::new(),
            max_attempts: 2,
        },
        service: "s".into(),
        is_relayed: false,
        configuration_revision: 1,
        arrived_at: now,
        deadline: now.after(Duration::from_secs(2)),
        target_deadline: now,
        identity: Default::default(),
        progress: Default::default(),
    }
}

fn look_up(node: &Arc<GatewayNode>) -> LookupOutcome {
    let (call, history) = (late_call(node.now()), AttemptHistory::default());
    let state = node.service("s");
    ServerLookup::new(node, &call, &state, &history, None).run()
}

// Guards against late requests that wait in the queue, or are refused, for the sake of a busy
// server while others are idle: the busy one has the shortest measured service time.
#[test]
fn late_request_gets_a_free_slot_though_the_server_with_the_earliest_completion_is_full() {
    let (node, servers) = node_with_servers(&[0.01, 0.04]);
    for _ in 0..SLOTS {
        servers[0].load.lock().request_started(node.now());
    }
    let LookupOutcome::Reserved(reservation) = look_up(&node) else {
        panic!("no server was selected");
    };
    assert_eq!(reservation.server.incarnation().id, "s1");
}

#[test]
fn late_request_waits_while_no_server_has_a_free_slot() {
    let (node, servers) = node_with_servers(&[0.01, 0.04]);
    for server in &servers {
        for _ in 0..SLOTS {
            server.load.lock().request_started(node.now());
        }
    }
    let outcome = look_up(&node);
    assert!(matches!(
        outcome,
        LookupOutcome::Wait(RefusalReason::NoRoom)
    ));
}

// Guards against a refusal because an idle server is too slow, where the full one would do.
#[test]
fn late_request_waits_for_a_full_server_if_the_idle_one_is_too_slow() {
    let (node, servers) = node_with_servers(&[0.01, 2.5]);
    for _ in 0..SLOTS {
        servers[0].load.lock().request_started(node.now());
    }
    let outcome = look_up(&node);
    assert!(matches!(
        outcome,
        LookupOutcome::Wait(RefusalReason::NoRoom)
    ));
}
