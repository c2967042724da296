//! Seeded simulations, in virtual time, of the way of a change from the store to all instances.
//!
//! The decisions are the product's: mirrors and their deltas, the table of instances, the age of
//! the knowledge, heartbeats with their encoding. The workers between them are modelled as steps of
//! a loop of events. The checker knows when the store confirmed each change: instances that were in
//! touch for some time have to have it in force in time. `CHANGE_PATH_SEEDS` sets the number of
//! seeds of each test.

mod change_checker;
mod change_world;
mod deployment_setup;
mod era_steps;
mod feed_path;
mod heartbeat_load;
mod heartbeat_path;
mod instance_updates;
mod knowledge_steps;
mod large_configuration;
mod leader_steps;
mod link_model;
mod path_settings;
mod restore_fault;
mod restore_tests;
mod simulated_instance;
mod simulated_store;
mod store_path;
mod world_fault;

use change_world::ChangeWorld;
use path_settings::{PathGuards, PathSettings};
use std::time::Duration;
use world_fault::{FaultTarget, WorldFault};

/// Violations of runs with the seeds from 0, of which `CHANGE_PATH_SEEDS` sets the number.
fn violations(seeds: u64, settings: impl Fn(u64) -> PathSettings) -> Vec<String> {
    let wanted = std::env::var("CHANGE_PATH_SEEDS").ok();
    let seeds = wanted.and_then(|seeds| seeds.parse().ok()).unwrap_or(seeds);
    violations_of(0..seeds, settings)
}

fn violations_of(
    seeds: std::ops::Range<u64>,
    settings: impl Fn(u64) -> PathSettings,
) -> Vec<String> {
    let mut found = Vec::new();
    for seed in seeds {
        let settings = settings(seed);
        let instances = settings.instances;
        let checker = ChangeWorld::new(settings).run();
        assert!(checker.checks > 0, "seed {seed} checked nothing");
        println!("seed {seed}, {instances} instances: {checker}");
        let texts = checker.violations.into_iter();
        found.extend(texts.map(|text| format!("seed {seed}, {instances} instances, {text}")));
    }
    found
}

fn assert_in_time(seeds: u64, settings: impl Fn(u64) -> PathSettings) {
    let found = violations(seeds, settings);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// Whether any run misses a part of the product that is left out.
fn is_missed(change: impl Fn(&mut PathGuards)) -> bool {
    (0..200).any(|seed| {
        let mut settings = PathSettings::disturbed(seed, 8);
        change(&mut settings.guards);
        !ChangeWorld::new(settings).run().violations.is_empty()
    })
}

#[test]
fn calm_instances_have_changes_in_force_in_time() {
    for instances in [1, 8, 12, 87] {
        assert_in_time(1, |seed| PathSettings::calm(seed, instances));
    }
}

// Guards against changes that are late while a watch, a heartbeat or a leader hides them
// (docs/incidents/late-change.md).
#[test]
fn changes_are_in_force_in_time_whatever_is_lost_on_their_way() {
    let found = [1, 8, 12]
        .map(|instances| violations(8, |seed| PathSettings::disturbed(seed, instances)).join("\n"));
    assert_eq!(found, ["", "", ""]);
}

#[test]
fn changes_are_in_force_in_time_at_87_instances() {
    assert_in_time(1, |seed| PathSettings::disturbed(seed, 87));
}

#[test]
fn changes_are_in_force_in_time_at_300_instances() {
    assert_in_time(1, |seed| PathSettings {
        duration: Duration::from_secs(14),
        ..PathSettings::disturbed(seed, 300)
    });
}

#[test]
fn knowledge_without_an_age_leaves_changes_late() {
    assert!(is_missed(|guards| guards.ageing = false));
}

#[test]
fn revision_without_coverage_leaves_changes_late() {
    assert!(is_missed(|guards| guards.coverage = false));
}

#[test]
fn heartbeats_held_up_and_taken_as_fresh_leave_changes_late() {
    assert!(is_missed(|guards| guards.peer_clock = false));
}

// Guards against heartbeats that are lost whole as they are too large: the leader then counts as
// lost, and all instances watch the store.
#[test]
fn leader_that_has_much_to_tell_is_heard() {
    let checker = ChangeWorld::new(PathSettings {
        script: vec![
            (
                Duration::from_secs(3),
                WorldFault::MoveKeys(Duration::from_secs(6)),
            ),
            (
                Duration::from_secs(3),
                WorldFault::CrowdHeartbeats(Duration::from_secs(6)),
            ),
        ],
        ..PathSettings::calm(0, 87)
    })
    .run();
    println!("{checker}");
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
    let calls = checker.most_calls_per_second(Duration::from_secs(3));
    assert!(calls < 40, "{calls} calls in a second");
}

#[test]
fn calls_to_the_store_do_not_grow_with_the_number_of_instances() {
    let calls = [12, 300].map(|instances| {
        let checker = ChangeWorld::new(PathSettings {
            duration: Duration::from_secs(9),
            changes: 0,
            ..PathSettings::calm(0, instances)
        })
        .run();
        println!("{instances} instances: {checker}");
        checker.calls_after(Duration::from_secs(3))
    });
    assert!(calls[1] <= calls[0] + 2, "{calls:?}");
}

// Guards against all instances asking the store when what they know gets too old.
#[test]
fn few_of_300_instances_ask_the_store_when_the_knowledge_of_all_gets_too_old() {
    let cut = WorldFault::CutStore(FaultTarget::Leader, Duration::from_millis(2_400));
    let checker = ChangeWorld::new(PathSettings {
        script: vec![
            (Duration::from_secs(4), WorldFault::LoseWatches(1.0)),
            (Duration::from_secs(4), cut),
            (Duration::from_millis(4_010), WorldFault::Configure),
        ],
        duration: Duration::from_secs(9),
        changes: 0,
        ..PathSettings::calm(0, 300)
    })
    .run();
    println!("{checker}");
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
    let calls = checker.most_calls_per_second(Duration::from_secs(3));
    assert!(calls <= 60, "{calls} calls in a second");
}

// Guards against a store that is asked by all instances as long as it does not answer, and against
// take-overs by all of them although the leader is heard.
#[test]
fn few_of_300_instances_ask_a_store_that_answers_none() {
    let outage = Duration::from_secs(8);
    let checker = ChangeWorld::new(PathSettings {
        script: vec![(Duration::from_secs(4), WorldFault::RefuseCalls(outage))],
        changes: 0,
        ..PathSettings::calm(0, 300)
    })
    .run();
    println!("{checker}");
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
    let calls = checker.calls_after(Duration::from_secs(4));
    assert!(calls <= 800, "{calls} calls");
}

// Guards against all instances watching the store, and sending heartbeats to all others, as soon as
// the leader is lost.
#[test]
fn few_of_300_instances_watch_the_store_after_the_leader_is_lost() {
    let kill = WorldFault::Kill(FaultTarget::Leader, Duration::from_secs(8));
    let checker = ChangeWorld::new(PathSettings {
        script: vec![(Duration::from_secs(4), kill)],
        changes: 0,
        duration: Duration::from_secs(9),
        ..PathSettings::calm(0, 300)
    })
    .run();
    println!("{checker}");
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
    let calls = checker.calls_after(Duration::from_secs(4));
    assert!(calls <= 100, "{calls} calls");
    let heartbeats = checker.most_heartbeats_per_second(Duration::from_secs(4));
    assert!(
        heartbeats <= 300 * 60,
        "{heartbeats} heartbeats in a second"
    );
}

// Guards against all instances listing and watching the store when all of them start at the same
// time, although three seeds could tell them.
#[test]
fn few_of_300_instances_list_the_store_when_all_start() {
    let kill = |index| {
        let fault = WorldFault::Kill(FaultTarget::Instance(index), Duration::from_secs(4));
        (Duration::from_secs(4), fault)
    };
    let checker = ChangeWorld::new(PathSettings {
        script: (0..300).map(kill).collect(),
        changes: 0,
        ..PathSettings::calm(0, 300)
    })
    .run();
    println!("{checker}");
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
    let calls = checker.calls_after(Duration::from_secs(4));
    // Each instance announces itself by one call.
    assert!(calls <= 300 + 100, "{calls} calls");
}

// Guards against a change that stays unknown while the connections to the store are silent, although
// the store answers on new ones.
#[test]
fn change_after_all_connections_went_silent_is_in_force_in_time() {
    let mut found = Vec::new();
    for offset in (0..1_200).step_by(100) {
        let silent_at = Duration::from_millis(4_000 + offset);
        let changed_at = silent_at + Duration::from_millis(5);
        found.extend(violations(1, |seed| PathSettings {
            script: vec![
                (silent_at, WorldFault::SilenceAllConnections),
                (changed_at, WorldFault::Configure),
            ],
            changes: 0,
            ..PathSettings::calm(seed, 1)
        }));
    }
    assert!(found.is_empty(), "{}", found.join("\n"));
}

// Guards against instances that confirm each other what none of them has heard from the store: each
// takes the 100 ms that a heartbeat needs for none.
#[test]
fn reports_in_circles_leave_changes_late_unless_their_hops_count() {
    let run = |hops| {
        let cut = WorldFault::CutStore(FaultTarget::Leader, Duration::from_secs(4));
        violations(4, |seed| {
            let mut settings = PathSettings {
                script: vec![
                    (Duration::from_secs(4), WorldFault::LoseWatches(1.0)),
                    (Duration::from_secs(4), cut.clone()),
                    (
                        Duration::from_millis(4_010 + seed * 50),
                        WorldFault::Configure,
                    ),
                ],
                changes: 0,
                heartbeat_transit: Duration::from_millis(100),
                ..PathSettings::calm(seed, 8)
            };
            settings.guards.hops = hops;
            settings
        })
    };
    assert_eq!(run(true).join("\n"), "");
    assert!(!run(false).is_empty());
}

// Guards against an instance that waits for the updates of one that does not answer, until its change
// is late.
#[test]
fn changes_are_in_force_in_time_while_an_instance_that_is_asked_does_not_answer() {
    let found = [(8, 329), (12, 85), (12, 302)].map(|(instances, seed)| {
        violations_of(seed..seed + 1, |seed| {
            PathSettings::disturbed(seed, instances)
        })
        .join("\n")
    });
    assert_eq!(found, ["", "", ""]);
}
