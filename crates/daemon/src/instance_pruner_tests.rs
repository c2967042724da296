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
    let (kept, missing) = (InstanceId::new("a", 1), InstanceId::new("b", 7));
    let registered = [kept.clone(), missing.clone()];
    let mut table = MissingTable::default();
    let at = |seconds: u64| MonoTime(seconds * 1_000_000);
    let partial_list = [listed(&kept)];
    let full_list = [listed(&kept), listed(&missing)];
    assert!(table.update(&registered, &partial_list, at(1)).is_empty());
    assert!(table.update(&registered, &partial_list, at(15)).is_empty());
    assert!(table.update(&registered, &full_list, at(15)).is_empty());
    assert!(table.update(&registered, &partial_list, at(16)).is_empty());
    assert!(table.update(&registered, &partial_list, at(30)).is_empty());
    assert_eq!(table.update(&registered, &partial_list, at(31)), [missing]);
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
