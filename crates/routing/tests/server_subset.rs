//! Subsets of servers cover all servers evenly, are stable under change and limit idle connections.
//!
//! Guards against a fleet such as 63 instances and 96 servers, where an instance that used all
//! servers would send each of them a request only every few seconds.

use geraniummast_routing::{InstancePosition, ServerSubset};
use std::collections::BTreeSet;

fn positions(servers: usize, index: usize, count: usize) -> BTreeSet<usize> {
    let position = InstancePosition { index, count };
    ServerSubset::positions(servers, ServerSubset::LOCAL_SERVERS, position).collect()
}

#[test]
fn subsets_cover_all_servers_evenly() {
    for (servers, count) in [(96, 63), (82, 75), (24, 16), (13, 40), (500, 9)] {
        let mut uses = vec![0_usize; servers];
        for index in 0..count {
            for position in positions(servers, index, count) {
                uses[position] += 1;
            }
        }
        let mean = (ServerSubset::LOCAL_SERVERS * count) as f64 / servers as f64;
        let (least, most) = (uses.iter().min().unwrap(), uses.iter().max().unwrap());
        let is_even = *most as f64 <= mean + 1.0 && *least as f64 >= mean - 1.0;
        assert!(
            is_even,
            "{servers} servers, {count} instances: {least} to {most}"
        );
    }
}

#[test]
fn few_servers_are_used_by_all_instances() {
    assert_eq!(positions(9, 3, 8).len(), 9);
    assert!(positions(0, 0, 1).is_empty());
}

#[test]
fn joining_instance_changes_other_subsets_little() {
    let mut kept = 0;
    for index in 0..63 {
        let before = positions(96, index, 63);
        kept += before.intersection(&positions(96, index, 64)).count();
    }
    let share = kept as f64 / (63 * ServerSubset::LOCAL_SERVERS) as f64;
    assert!(share > 0.9, "{share} of the servers kept");
}

#[test]
fn idle_connections_are_limited_by_connections_and_users() {
    assert_eq!(ServerSubset::max_idle_connections(120, 63), 1);
    assert_eq!(ServerSubset::max_idle_connections(65, 15), 2);
    assert_eq!(ServerSubset::max_idle_connections(510, 10), 4);
}
