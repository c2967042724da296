//! Which instances watch the store.

use geraniummast_routing::{WatchCandidate, WatchDuty};

fn candidate<'a>(name: &'a str, data_centre: &'a str) -> WatchCandidate<'a> {
    WatchCandidate { name, data_centre }
}

#[test]
fn helpers_stand_in_other_data_centres_than_the_leader_and_each_other() {
    let live = vec![
        candidate("a1", "a"),
        candidate("a2", "a"),
        candidate("b1", "b"),
        candidate("b2", "b"),
        candidate("c1", "c"),
    ];
    let helpers = WatchDuty::helpers(candidate("a1", "a"), live);
    assert_eq!(helpers.len(), 2);
    assert!(helpers.iter().any(|name| name.starts_with('b')));
    assert!(helpers.contains(&"c1"));
}

#[test]
fn few_instances_all_watch() {
    assert!(WatchDuty::helpers(candidate("a1", "a"), vec![candidate("a1", "a")]).is_empty());
    let live = vec![
        candidate("a1", "a"),
        candidate("a2", "a"),
        candidate("a3", "a"),
    ];
    assert_eq!(WatchDuty::helpers(candidate("a1", "a"), live).len(), 2);
}
