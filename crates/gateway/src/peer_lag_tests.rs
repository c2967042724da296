//! When an instance counts as lagging behind others.

use crate::{
    peer_table_tests::{KNOWN, at, heartbeat, table},
    prelude::*,
};

#[test]
fn lagging_instance_watches_store() {
    let mut table = table();
    table.apply_heartbeat(heartbeat("p1", 15, true), at(1_000));
    table.newer_source(KNOWN, None, at(1_000));
    assert!(!table.should_watch(false, at(1_100)));
    table.apply_heartbeat(heartbeat("p1", 15, true), at(1_500));
    table.newer_source(KNOWN, None, at(1_500));
    assert!(table.should_watch(false, at(1_700)));
    table.newer_source(
        [10.into(), 15.into(), 10.into(), 10.into()],
        None,
        at(1_800),
    );
    assert!(
        !table.should_watch(false, at(1_800)),
        "the instance has caught up"
    );
}

// Guards against all of 300 instances watching the store for themselves while servers change one after
// the other: each learns of every change in time from others, which by then tell of the next one.
#[test]
fn instance_that_catches_up_with_each_of_many_changes_is_not_lagging() {
    let mut table = table();
    let mut lagging = Vec::new();
    for step in 0..10 {
        let now = at(1_000 + step * 300);
        table.apply_heartbeat(heartbeat("p1", 11 + step, true), now);
        table.newer_source([10, 10 + step, 10, 10].map(StoreRevision::from), None, now);
        if table.should_watch(false, now) {
            lagging.push(step);
        }
    }
    assert!(lagging.is_empty(), "lagging at {lagging:?}");
}
