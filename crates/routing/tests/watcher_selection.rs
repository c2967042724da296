//! Which instances watch the store.

use geraniummast_routing::{WatcherCandidate, WatcherSelection};

fn candidate<'a>(name: &'a str, data_centre: &'a str) -> WatcherCandidate<'a> {
    WatcherCandidate {
        name,
        data_centre,
        processor_share: 0.2,
    }
}

fn strong<'a>(name: &'a str, data_centre: &'a str) -> WatcherCandidate<'a> {
    WatcherCandidate {
        processor_share: 0.5,
        ..candidate(name, data_centre)
    }
}

#[test]
fn a_weak_leader_leaves_its_work_to_a_strong_instance() {
    let live = [candidate("a2", "a"), strong("b1", "b")];
    assert!(WatcherSelection::should_yield(candidate("a1", "a"), &live));
    assert!(!WatcherSelection::should_yield(strong("a1", "a"), &live));
    assert!(!WatcherSelection::should_yield(
        candidate("a1", "a"),
        &live[..1]
    ));
    let helpers = WatcherSelection::extra_watchers(candidate("a1", "a"), live.to_vec());
    assert_eq!(helpers[0], "b1", "the strongest one would lead next");
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
    let helpers = WatcherSelection::extra_watchers(candidate("a1", "a"), live);
    assert_eq!(helpers.len(), 2);
    assert!(helpers.iter().any(|name| name.starts_with('b')));
    assert!(helpers.contains(&"c1"));
}

#[test]
fn few_instances_all_watch() {
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
