//! Descriptors that requests in progress use together.

use crate::{
    descriptor_plan::DescriptorPlan, prelude::*, test_callers, test_http, test_node, test_objects,
};
use std::{io::Write, net::TcpStream, time::Instant};

const MAX_DESCRIPTORS: usize = 256;
const FILES: usize = 200;

// Load pattern: all callers that the listener accepts have a request at a slow server. Guards against
// connections to servers beyond the descriptors of the machine.
#[test]
#[ignore = "known red"]
fn callers_and_their_servers_stay_within_the_descriptors() {
    let setting = format!("--max-descriptors={MAX_DESCRIPTORS}");
    let node = Arc::new(test_node::build_with(&[&setting]));
    let plan = DescriptorPlan::from(&node.settings);
    let route = RouteRule {
        target_latency: Duration::from_secs(10),
        ..test_callers::order_route(Duration::from_secs(20))
    };
    test_callers::install_route(&node, route);
    let mut held = Vec::new();
    let server = test_http::accept_each(move |stream| held.push(stream));
    for number in 0..plan.callers {
        let entry = ServerEntry {
            address: server,
            ..test_objects::ready_entry(&format!("s{number}"))
        };
        test_objects::put_server(&node, &entry, 1);
    }
    let limits = HttpLimits {
        max_connections: plan.callers,
        ..HttpLimits::default()
    };
    let (address, connections) = test_callers::serve(&node, limits);

    let _callers: Vec<_> = (0..plan.callers)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            let head = "GET /order/x HTTP/1.1\r\nhost: a.example\r\n\r\n";
            stream.write_all(head.as_bytes()).unwrap();
            stream
        })
        .collect();
    let started = Instant::now();
    let mut most = 0;
    while started.elapsed() < Duration::from_secs(3) {
        let servers = node.usable_servers("s");
        let open: usize = servers.iter().map(|one| one.pool.open_count()).sum();
        most = most.max(connections.count() + open);
        std::thread::sleep(Duration::from_millis(10));
    }
    let left = MAX_DESCRIPTORS - FILES;
    assert!(most <= left, "{most} connections, {left} allowed, {plan:?}");
}
