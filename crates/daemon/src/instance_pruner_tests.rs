//! Tests of when a registered instance counts as ended.

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
fn instance_missing_from_list_for_15_s_without_break_counts_as_ended() {
    let (kept, lost) = (InstanceId::new("a", 1), InstanceId::new("b", 7));
    let registered = [kept.clone(), lost.clone()];
    let mut table = MissingTable::default();
    let at = |seconds: u64| MonoTime(seconds * 1_000_000);
    let without_lost = [listed(&kept)];
    let with_lost = [listed(&kept), listed(&lost)];
    assert!(table.update(&registered, &without_lost, at(1)).is_empty());
    assert!(table.update(&registered, &without_lost, at(15)).is_empty());
    assert!(table.update(&registered, &with_lost, at(15)).is_empty());
    assert!(table.update(&registered, &without_lost, at(16)).is_empty());
    assert!(table.update(&registered, &without_lost, at(30)).is_empty());
    assert_eq!(table.update(&registered, &without_lost, at(31)), [lost]);
}

#[test]
fn list_that_shows_earlier_incarnation_does_not_end_restarted_instance() {
    let restarted = InstanceId::new("a", 2);
    let earlier = listed(&InstanceId::new("a", 1));
    let mut table = MissingTable::default();
    let registered = [restarted.clone()];
    assert!(
        table
            .update(&registered, &[earlier], MonoTime(0))
            .is_empty()
    );
    assert!(
        table
            .update(&registered, &[listed(&restarted)], MonoTime(60_000_000))
            .is_empty()
    );
}
