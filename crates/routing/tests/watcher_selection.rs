//! Selection of the instances that watch the store.

use geraniummast_routing::{WatcherCandidate, WatcherSelection};

fn candidate<'a>(name: &'a str, data_centre: &'a str) -> WatcherCandidate<'a> {
    WatcherCandidate {
        name,
        data_centre,
        processor_share: 0.2,
    }
}

fn strong_candidate<'a>(name: &'a str, data_centre: &'a str) -> WatcherCandidate<'a> {
    WatcherCandidate {
        processor_share: 0.5,
        ..candidate(name, data_centre)
    }
}

#[test]
fn weak_leader_yields_to_a_strong_instance() {
    let live = [candidate("a2", "a"), strong_candidate("b1", "b")];
    assert!(WatcherSelection::should_yield(candidate("a1", "a"), &live));
    assert!(!WatcherSelection::should_yield(
        strong_candidate("a1", "a"),
        &live
    ));
    assert!(!WatcherSelection::should_yield(
        candidate("a1", "a"),
        &live[..1]
    ));
    let watchers = WatcherSelection::extra_watchers(candidate("a1", "a"), live.to_vec());
    assert_eq!(
        watchers[0], "b1",
        "the strongest instance is the next leader"
    );
}

#[test]
fn extra_watchers_are_in_different_data_centres() {
    let live = vec![
        candidate("a1", "a"),
        candidate("a2", "a"),
        candidate("b1", "b"),
        candidate("b2", "b"),
        candidate("c1", "c"),
    ];
    let watchers = WatcherSelection::extra_watchers(candidate("a1", "a"), live);
    assert_eq!(watchers.len(), 2);
    assert!(watchers.iter().any(|name| name.starts_with('b')));
    assert!(watchers.contains(&"c1"));
}

#[test]
fn few_instances_all_watch_the_store() {
    assert!(
        WatcherSelection::extra_watchers(candidate("a1", "a"), vec![candidate("a1", "a")])
            .is_empty()
    );
    let live = vec![
        candidate("a1", "a"),
        candidate("a2", "a"),
        candidate("a3", "a"),
    ];
    assert_eq!(
        WatcherSelection::extra_watchers(candidate("a1", "a"), live).len(),
        2
    );
}
