//! Tests of the shares of file descriptors.

use crate::descriptor_plan::DescriptorPlan;

const FILES: usize = 200;

// Guards against bounds that change on machines without a limit.
#[test]
fn unlimited_descriptors_change_nothing() {
    let plan = DescriptorPlan::new(None, 2_000);
    let expected = DescriptorPlan {
        callers: 2_000,
        relay: 1_024,
        feed: 512,
        operators: 64,
    };
    assert_eq!(plan, expected);
}

// Load pattern: as many connections of callers as the setting allows on the smallest machine. Guards
// against a share for other connections that takes some of them.
#[test]
fn smallest_machine_has_room_for_all_callers() {
    let plan = DescriptorPlan::new(Some(3_075), 2_000);
    assert_eq!(plan.callers, 2_000);
    let expected_outgoing = 300;
    assert!(
        plan.accepted() + FILES + expected_outgoing <= 3_075,
        "{plan:?}"
    );
}

// Load pattern: all listeners full, on machines of all sizes. Guards against a process without a
// descriptor left for connections to servers.
#[test]
fn listeners_leave_descriptors_for_servers() {
    for total in [256, 512, 1_024, 3_075, 4_096, 8_192, 65_536] {
        for max_callers in [1, 100, 2_000, 100_000] {
            let plan = DescriptorPlan::new(Some(total), max_callers);
            let left = total.checked_sub(FILES + plan.accepted());
            assert!(left.is_some_and(|left| left >= 6), "{total}: {plan:?}");
            assert!(plan.callers <= max_callers);
        }
    }
}
