//! Moves away from servers that name a limit.

use crate::{distributed, rebalanced, server, share};
use geraniummast_routing::{KeyRecord, PlannedServer};

fn limited(id: &str, limit: f64) -> PlannedServer {
    PlannedServer {
        limit: Some(limit),
        ..server(id, limit)
    }
}

/// Requests of the window to keys of the first half.
fn window_of(requests: u16) -> Vec<(u16, f64)> {
    let key = |step| (step * (32_000 / requests), 1.0);
    (0..requests).map(key).collect()
}

// Guards against a server that names a limit and keeps more keys than it may serve, because the
// surplus is small compared with the noise of unlimited servers.
#[test]
fn limited_server_gives_small_surplus_away() {
    let servers = [
        limited("limited", 2.0),
        server("a", 25.0),
        server("b", 25.0),
    ];
    // The limited server owns the first half of the keys, with five requests in the window.
    let record = distributed(&[server("limited", 25.0), server("a", 25.0)]);
    let weights = window_of(5);
    assert!(share(&record, "limited", &weights) > 0.99);
    let record = rebalanced(record, &servers, &weights);
    assert!(share(&record, "limited", &weights) <= 0.2);
}

// Guards against keys that go back and forth between a server with a limit and the others.
#[test]
fn limited_server_within_its_limit_neither_gives_nor_gets_keys() {
    let record = distributed(&[server("limited", 1.0), server("a", 25.0), server("b", 25.0)]);
    let servers = [
        limited("limited", 5.0),
        server("a", 25.0),
        server("b", 25.0),
    ];
    // The limited server has no load, and one of the others has more than the other.
    let mut uneven = vec![];
    uneven.extend((0..25).map(|step| (2_000 + step * 1_000, 1.0)));
    uneven.extend((0..40).map(|step| (35_000 + step * 700, 1.0)));
    for weights in [vec![(0, 1.0)], uneven] {
        let after = rebalanced(record.clone(), &servers, &weights);
        for key in (0..=u16::MAX).step_by(100) {
            let owner = |record: &KeyRecord| record.range_of(key).unwrap().owner.clone();
            let is_limited = |record: &KeyRecord| owner(record).id == "limited";
            assert_eq!(is_limited(&after), is_limited(&record), "{key}");
        }
    }
}

#[test]
fn servers_that_are_all_limited_share_the_load_by_their_limits() {
    let servers = [limited("low", 10.0), limited("high", 30.0)];
    let record = distributed(&[server("low", 30.0), server("high", 10.0)]);
    let weights = window_of(20);
    let after = rebalanced(record, &servers, &weights);
    let share = share(&after, "low", &weights);
    assert!(share <= 0.4, "{share} {after:?}");
}
