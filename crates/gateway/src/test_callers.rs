//! Route and listener for the requests of callers in tests.

use crate::{prelude::*, request_handler, test_objects};

/// Route of the service `s` for requests that may not be repeated, and have one attempt.
pub(crate) fn order_route(timeout: Duration) -> RouteRule {
    RouteRule {
        name: "order".into(),
        prefix: "/order/".into(),
        idempotent: false,
        timeout,
        target_latency: Duration::from_millis(500),
        priority: 1,
        split: vec![WeightedService {
            service: "s".into(),
            weight: 1.0,
        }],
        max_attempts: 1,
    }
}

/// Gives an instance a configuration with one route, for the host `a.example`.
pub(crate) fn install_route(node: &GatewayNode, route: RouteRule) {
    let table = test_objects::route_table(1, &["s"]);
    let routes = IndexMap::from([("a.example".into(), vec![route])]);
    let table = RouteTable::new(1, routes, table.services().clone(), table.limits());
    assert!(node.install_routes(table, 1.into()));
}

/// Serves callers on a thread of its own; returns the address and the connections.
pub(crate) fn serve(
    node: &Arc<GatewayNode>,
    limits: HttpLimits,
) -> (SocketAddr, Arc<OpenConnections>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = future::block_on(HttpListener::bind(any, limits)).unwrap();
    let served = (listener.local_address().unwrap(), listener.connections());
    let (workers, handler_node) = (node.workers.clone(), node.clone());
    std::thread::spawn(move || {
        let handle = move |request| request_handler::handle(handler_node.clone(), request);
        workers.block_on(listener.serve(workers.clone(), handle));
    });
    served
}
