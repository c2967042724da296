//! When a registered instance counts as gone.

use crate::{instance_pruner::MissingTable, prelude::*};

fn listed(id: &InstanceId) -> ListedInstance {
    ListedInstance {
        name: id.name.clone(),
        incarnation: id.incarnation,
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "dc1".into(),
        state: ListedState::Live,
    }
}

#[test]
fn an_instance_is_gone_only_after_it_was_missing_from_the_list_for_long() {
    let (kept, lost) = (InstanceId::new("a", 1), InstanceId::new("b", 7));
    let registered = [kept.clone(), lost.clone()];
    let mut table = MissingTable::default();
    let at = |seconds: u64| MonoTime(seconds * 1_000_000);
    let without = [listed(&kept)];
    let with = [listed(&kept), listed(&lost)];
    assert!(table.gone(&registered, &without, at(1)).is_empty());
    assert!(table.gone(&registered, &without, at(15)).is_empty());
    assert!(table.gone(&registered, &with, at(15)).is_empty());
    assert!(table.gone(&registered, &without, at(16)).is_empty());
    assert!(table.gone(&registered, &without, at(30)).is_empty());
    assert_eq!(table.gone(&registered, &without, at(31)), [lost]);
}

#[test]
fn a_list_that_still_shows_an_older_run_does_not_keep_its_successor_back() {
    let restarted = InstanceId::new("a", 2);
    let older = listed(&InstanceId::new("a", 1));
    let mut table = MissingTable::default();
    let registered = [restarted.clone()];
    assert!(table.gone(&registered, &[older], MonoTime(0)).is_empty());
    assert!(
        table
            .gone(&registered, &[listed(&restarted)], MonoTime(60_000_000))
            .is_empty()
    );
}
