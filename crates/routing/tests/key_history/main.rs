//! Seeded simulations of key ownership that run the real leader code.
//!
//! Instances are killed, paused and cut off from the store; orders are lost or executed late;
//! servers restart under their identifier; answers of the store are lost, and it is restored from older
//! copies. The invariants are
//! checked at every step: at most one server holds a key, and the fences of a key only increase.

mod connection_faults;
mod fake_server;
mod fake_store;
mod history_parameters;
mod history_world;
mod instance_faults;
mod peer_heartbeats;
mod record_writes;
mod sent_order;
mod store_readings;
mod store_restores;

use geraniummast_routing::GrantLedger;
use history_parameters::HistoryParameters;
use history_world::HistoryWorld;

/// Number of histories in one run of a test.
const SEEDS: u64 = 300;

fn violations(parameters: &HistoryParameters, seeds: u64) -> Vec<String> {
    violations_of(parameters, 0..seeds)
}

fn violations_of(parameters: &HistoryParameters, seeds: impl Iterator<Item = u64>) -> Vec<String> {
    seeds
        .filter_map(|seed| {
            let mut world = HistoryWorld::new(seed, parameters.clone());
            world
                .run()
                .err()
                .map(|violation| format!("seed {seed}: {violation}"))
        })
        .collect()
}

fn assert_no_violations(violations_found: &[String]) {
    assert!(
        violations_found.is_empty(),
        "{}",
        violations_found.join("\n")
    );
}

#[test]
fn all_faults_leave_one_owner_per_key_and_increasing_fences() {
    let violations_found = violations(&HistoryParameters::default(), SEEDS);
    assert_no_violations(&violations_found);
}

/// Violations in histories with the given rates of late orders and of breaking connections.
fn broken_connection_violations(
    late_orders_per_mille: u32,
    breaks_per_mille: u32,
    seeds: &[u64],
) -> Vec<String> {
    let parameters = HistoryParameters {
        late_orders_per_mille,
        breaks_per_mille,
        ..HistoryParameters::default()
    };
    violations_of(&parameters, seeds.iter().copied())
}

#[test]
fn late_orders_and_broken_connections_leave_one_owner_per_key() {
    let seeds: Vec<u64> = (0..SEEDS).collect();
    let violations_found = broken_connection_violations(500, 60, &seeds);
    assert_no_violations(&violations_found);
}

// Guards against a refused connection that is taken for the end of its server's process: a server
// with too many connections refuses new ones and works on.
#[test]
fn servers_that_refuse_connections_and_work_on_keep_one_owner_per_key() {
    let parameters = HistoryParameters {
        refusals_per_mille: 30,
        ..HistoryParameters::default()
    };
    let violations_found = violations(&parameters, SEEDS);
    assert_no_violations(&violations_found);
}

// Guards against grants that arrive as late as their sender waits for an answer: the holds that they
// start end later than the leader assumed, and the keys were granted on before.
#[test]
fn orders_that_arrive_within_their_timeout_leave_one_owner_per_key() {
    let parameters = HistoryParameters {
        max_transit_ms: GrantLedger::MAX_TRANSIT.as_millis() as u64 - 50,
        late_orders_per_mille: 500,
        breaks_per_mille: 60,
        ..HistoryParameters::default()
    };
    let violations_found = violations(&parameters, SEEDS);
    assert_no_violations(&violations_found);
}

#[test]
fn record_written_after_a_new_grant_leaves_one_owner_per_key() {
    let violations_found = [
        broken_connection_violations(500, 40, &[1015, 1269, 1274, 1756, 1848]),
        broken_connection_violations(500, 60, &[1125, 1274, 2071]),
        broken_connection_violations(700, 80, &[1873]),
        broken_connection_violations(800, 100, &[249]),
    ]
    .concat();
    assert_no_violations(&violations_found);
}

#[test]
fn all_keys_have_an_owner_after_faults_end() {
    for seed in 0..40 {
        let mut world = HistoryWorld::new(seed, HistoryParameters::default());
        world
            .run()
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        world.end_faults();
        world
            .run()
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        let unowned = world.unowned_keys();
        assert!(
            unowned.is_empty(),
            "seed {seed}: keys {unowned:?} without an owner"
        );
    }
}

#[test]
fn leader_that_ignores_unexpired_grants_causes_two_owners() {
    let parameters = HistoryParameters {
        assumed_grant_ms: 0,
        ..HistoryParameters::default()
    };
    assert!(!violations(&parameters, 60).is_empty());
}

// A later leader raises all fences, so that servers reject the orders of the former one where both
// reach them: many late orders and refused connections show the fault within these seeds.
#[test]
fn leader_without_confirmation_by_the_store_causes_two_owners() {
    let parameters = HistoryParameters {
        authority_ms: 3_600_000,
        assumed_authority_ms: 1_000,
        late_orders_per_mille: 600,
        refusals_per_mille: 30,
        ..HistoryParameters::default()
    };
    assert!(!violations(&parameters, SEEDS).is_empty());
}

/// Histories in which leaders go on without the store while other instances support them.
fn supported() -> HistoryParameters {
    HistoryParameters {
        has_heartbeats: true,
        authority_ms: 60_000,
        assumed_authority_ms: 60_000,
        late_orders_per_mille: 300,
        breaks_per_mille: 60,
        ..HistoryParameters::default()
    }
}

// Guards against keys that are granted on while a former leader still has the support to renew
// them: heartbeats are lost and late, and instances are cut off from each other and from the store.
#[test]
fn leaders_that_rest_on_their_supporters_leave_one_owner_per_key() {
    let violations_found = violations(&supported(), SEEDS);
    assert_no_violations(&violations_found);
}

#[test]
fn support_that_counts_longer_than_successors_assume_causes_two_owners() {
    let parameters = HistoryParameters {
        support_ms: 60_000,
        late_orders_per_mille: 600,
        breaks_per_mille: 0,
        ..supported()
    };
    assert!(!violations(&parameters, SEEDS).is_empty());
}

#[test]
fn servers_without_fence_check_let_late_orders_cause_violations() {
    let parameters = HistoryParameters {
        servers_check_fences: false,
        ..HistoryParameters::default()
    };
    assert!(!violations(&parameters, 60).is_empty());
}

#[test]
fn fences_sent_over_later_connections_reach_another_life() {
    let parameters = HistoryParameters {
        binds_fences: false,
        ..HistoryParameters::default()
    };
    assert!(!violations(&parameters, 120).is_empty());
}

/// Histories in which the store is restored from copies some seconds old.
fn restored() -> HistoryParameters {
    HistoryParameters {
        restores_per_mille: 3,
        ..HistoryParameters::default()
    }
}

/// The same with heartbeats, by which leaders learn that no takeover was lost.
fn restored_with_heartbeats() -> HistoryParameters {
    HistoryParameters {
        authority_ms: 12_000,
        assumed_authority_ms: 12_000,
        late_orders_per_mille: 100,
        breaks_per_mille: 10,
        restores_per_mille: 3,
        ..supported()
    }
}

/// Violations in restored histories, and keys that have no owner after their faults have ended.
fn restore_violations(parameters: &HistoryParameters, seeds: u64) -> Vec<String> {
    let violation_of = |seed| {
        let mut parameters = parameters.clone();
        // With few other faults most leaders write their record again, with many others take over.
        parameters.fault_share_per_mille = [100, 1_000][seed as usize % 2];
        let mut world = HistoryWorld::new(seed, parameters);
        let mut result = world.run();
        world.end_faults();
        result = result.and_then(|()| world.run());
        let unowned = world.unowned_keys();
        match (result, unowned.as_slice()) {
            (Err(violation), _) => Some(format!("seed {seed}: {violation}")),
            (Ok(()), []) => None,
            (Ok(()), keys) => Some(format!("seed {seed}: keys {keys:?} without an owner")),
        }
    };
    (0..seeds).filter_map(violation_of).collect()
}

// Guards against instances that take what the store has after a restore for the newest record: moves,
// fences and terms that it has lost are given out again.
#[test]
fn restored_stores_leave_one_owner_per_key() {
    let violations_found = restore_violations(&restored(), SEEDS);
    assert_no_violations(&violations_found);
}

// Guards against leaders that write their record again though a takeover of it was lost.
#[test]
fn restored_stores_leave_one_owner_per_key_with_heartbeats() {
    let violations_found = restore_violations(&restored_with_heartbeats(), SEEDS);
    assert_no_violations(&violations_found);
}

// Guards against leaders that are never sure that no takeover was lost, so that each restore costs all
// keys their owners until the grants of former leaders have expired.
#[test]
fn restores_alone_leave_no_key_without_an_owner_for_long() {
    /// Lost orders and writes keep a key without an owner for about as long without any restore.
    const MAX_GAP_MS: u64 = 4_000;
    let parameters = HistoryParameters {
        fault_share_per_mille: 0,
        breaks_per_mille: 0,
        late_orders_per_mille: 0,
        ..restored_with_heartbeats()
    };
    let (mut restores, mut rewrites) = (0, 0);
    let mut failures = Vec::new();
    for seed in 0..SEEDS {
        let mut world = HistoryWorld::new(seed, parameters.clone());
        let result = world.run();
        restores += world.store.era - 1;
        rewrites += world.rewrites;
        match (result, world.longest_gap) {
            (Err(violation), _) => failures.push(format!("seed {seed}: {violation}")),
            (Ok(()), gap) if gap > MAX_GAP_MS => failures.push(format!("seed {seed}: {gap} ms")),
            (Ok(()), _) => {}
        }
    }
    assert_no_violations(&failures);
    // A restore that follows within a second needs no rewrite of its own.
    assert!(
        rewrites * 10 >= restores * 7,
        "{rewrites} rewrites after {restores} restores"
    );
}
