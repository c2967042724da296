//! Tests of the time limit for heads of callers' requests.

use crate::{listener_guard::caller_head_limit, prelude::*, test_node, test_objects};

const LONGEST: Duration = Duration::from_secs(75);

// Guards against heads cut at an instance that knows no limit yet, at one that reads late, and
// against a limit longer than that of idle connections.
#[test]
fn head_limit_follows_the_configuration_with_a_margin() {
    let node = test_node::build();
    assert_eq!(caller_head_limit(&node, LONGEST), LONGEST);
    // The configuration allows 3 s.
    let table = test_objects::route_table(1, &[]);
    assert!(node.install_routes(table, 1.into()));
    assert_eq!(caller_head_limit(&node, LONGEST), Duration::from_secs(5));
    let shortest = Duration::from_secs(4);
    assert_eq!(caller_head_limit(&node, shortest), shortest);
}
