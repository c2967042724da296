//! Subsets of servers: even cover, stable under change, few connections.
//!
//! Pattern: 63 instances before 96 servers, where each instance sends a server a request only every
//! few seconds if it uses them all.

use geraniummast_routing::{InstancePosition, ServerSubset};
use std::collections::BTreeSet;

fn positions(servers: usize, index: usize, count: usize) -> BTreeSet<usize> {
    let place = InstancePosition { index, count };
    ServerSubset::positions(servers, ServerSubset::LOCAL_SERVERS, place).collect()
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
fn few_servers_are_used_by_all() {
    assert_eq!(positions(9, 3, 8).len(), 9);
    assert!(positions(0, 0, 1).is_empty());
}

#[test]
fn an_instance_that_joins_changes_little_of_the_others_subsets() {
    let mut kept = 0;
    for index in 0..63 {
        let before = positions(96, index, 63);
        kept += before.intersection(&positions(96, index, 64)).count();
    }
    let share = kept as f64 / (63 * ServerSubset::LOCAL_SERVERS) as f64;
    assert!(share > 0.9, "{share} of the servers kept");
}

#[test]
fn idle_connections_leave_room_at_a_server_that_all_use() {
    assert_eq!(ServerSubset::max_idle_connections(120, 63), 1);
    assert_eq!(ServerSubset::max_idle_connections(65, 15), 2);
    assert_eq!(ServerSubset::max_idle_connections(510, 10), 4);
}
