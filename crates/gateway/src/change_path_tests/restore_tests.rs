//! Runs in which the store comes back from an older copy.

use super::{
    change_world::ChangeWorld,
    path_settings::{PathGuards, PathSettings},
    violations,
    world_fault::{FaultTarget, WorldFault},
};
use std::time::Duration;

/// Time of the restore in the runs that are not drawn.
const RESTORED_AT: Duration = Duration::from_secs(4);

/// A run in which the store goes back by 3 s, beside a leader that moves keys until then: its writes
/// are gone and their numbers are given out again. `later` are further faults, with the time after
/// the restore.
fn after_moves(
    seed: u64,
    instances: usize,
    outage: Duration,
    later: &[(Duration, WorldFault)],
) -> PathSettings {
    let age = Duration::from_secs(3);
    let begin = RESTORED_AT - age;
    let restore = WorldFault::Restore(age - Duration::from_millis(100), outage);
    let mut script = vec![
        (begin, WorldFault::MoveKeys(age)),
        (RESTORED_AT - age / 30, WorldFault::Configure),
        (RESTORED_AT, restore),
    ];
    let later = later.iter().cloned();
    script.extend(later.map(|(after, fault)| (RESTORED_AT + after, fault)));
    PathSettings {
        script,
        changes: 0,
        ..PathSettings::calm(seed, instances)
    }
}

fn late_changes(mut settings: PathSettings, change: impl Fn(&mut PathGuards)) -> Vec<String> {
    change(&mut settings.guards);
    let checker = ChangeWorld::new(settings).run();
    assert!(checker.checks > 0);
    checker.violations
}

/// Whether a run with a restore that is drawn misses a part of the product that is left out.
fn is_missed(change: impl Fn(&mut PathGuards)) -> bool {
    (0..100).any(|seed| !late_changes(PathSettings::restored(seed, 8), &change).is_empty())
}

/// Calls and lists within 2 s of the return of the store, and the time until all instances knew the
/// new era's objects.
fn calls_after_restore(instances: usize, outage: Duration) -> ([usize; 2], Duration) {
    let later = [(outage + Duration::from_millis(1_100), WorldFault::Configure)];
    let checker = ChangeWorld::new(PathSettings {
        duration: RESTORED_AT + outage + Duration::from_millis(3_500),
        ..after_moves(0, instances, outage, &later)
    })
    .run();
    let counts = checker.calls_within(RESTORED_AT + outage, Duration::from_secs(2));
    println!(
        "{instances} instances, {} ms away: {} calls, of them {} lists; known after {} ms; {checker}",
        outage.as_millis(),
        counts[0],
        counts[1],
        checker.era_known.as_millis(),
    );
    assert!(checker.checks > 0);
    assert_eq!(checker.violations, [""; 0]);
    (counts, checker.era_known.saturating_sub(outage))
}

// Guards against changes that are never seen after the store came back from an older copy
// (docs/incidents/late-change-2.md).
#[test]
fn changes_are_in_force_in_time_after_restores() {
    let found = [1, 8, 12]
        .map(|instances| violations(8, |seed| PathSettings::restored(seed, instances)).join("\n"));
    assert_eq!(found, ["", "", ""]);
}

#[test]
fn changes_are_in_force_in_time_after_restores_at_87_instances() {
    let found = violations(1, |seed| PathSettings::restored(seed, 87));
    assert!(found.is_empty(), "{}", found.join("\n"));
}

#[test]
fn changes_are_in_force_in_time_after_a_restore_beside_the_loss_of_the_leader_at_300_instances() {
    let lost = WorldFault::Kill(FaultTarget::Leader, Duration::from_secs(1));
    let refused = WorldFault::RefuseInstances(0.3, Duration::from_secs(2));
    let found = violations(1, |seed| {
        let later = [
            (Duration::ZERO, refused.clone()),
            (Duration::from_millis(300), lost.clone()),
            (Duration::from_secs(3), WorldFault::Configure),
        ];
        PathSettings {
            duration: RESTORED_AT + Duration::from_secs(6),
            ..after_moves(seed, 300, Duration::ZERO, &later)
        }
    });
    assert!(found.is_empty(), "{}", found.join("\n"));
}

#[test]
fn revisions_without_eras_leave_changes_unseen_after_a_restore() {
    assert!(is_missed(|guards| guards.eras = false));
}

#[test]
fn watches_that_go_on_across_eras_leave_changes_unseen() {
    assert!(is_missed(|guards| guards.watch_eras = false));
}

// Guards against revisions of the earlier era that another instance tells, and that are taken to be
// of the present one: nothing of it is fetched until its numbers have passed them.
#[test]
fn revisions_that_are_told_without_their_era_leave_changes_unseen() {
    assert!(is_missed(|guards| guards.feed_eras = false));
}

// Guards against a store that is taken to have told nothing new, as the numbers up to its revision
// are known from the earlier era.
#[test]
fn coverage_that_is_kept_across_eras_leaves_changes_unseen() {
    let later = [
        (Duration::from_millis(3_200), WorldFault::LoseWatches(1.0)),
        (Duration::from_millis(3_300), WorldFault::Configure),
    ];
    let run = |coverage_eras| {
        let settings = after_moves(0, 3, Duration::ZERO, &later);
        late_changes(settings, |guards| guards.coverage_eras = coverage_eras)
    };
    assert_eq!(run(true), [""; 0]);
    assert!(!run(false).is_empty());
}

// Guards against an upgrade during which instances of the two builds take each other's revisions for
// later or earlier than they are.
#[test]
fn changes_are_in_force_in_time_beside_instances_that_know_of_no_eras() {
    let found = violations(8, |seed| PathSettings {
        has_former_builds: true,
        ..PathSettings::disturbed(seed, 8)
    });
    assert!(found.is_empty(), "{}", found.join("\n"));
}

// Guards against all instances listing the store when it begins a new era: the leader and two
// watchers list each kind once, the leader's check may have listed them before, and the others are
// told. After a time away, other watchers and checks may join them.
#[test]
fn few_of_300_instances_call_the_store_in_a_new_era() {
    for instances in [8, 300] {
        for (outage, max_calls, max_lists) in [(0, 30, 12), (800, 70, 24)] {
            let outage = Duration::from_millis(outage);
            let ([calls, lists], known_after) = calls_after_restore(instances, outage);
            assert!(calls <= max_calls, "{calls} calls");
            assert!(lists <= max_lists, "{lists} lists");
            assert!(known_after <= Duration::from_millis(1_500));
        }
    }
}
