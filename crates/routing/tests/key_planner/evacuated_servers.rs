//! Plans that move the keys of an evacuated data centre, which has to take seconds.

use crate::{rebalanced, server, settled};
use geraniummast_routing::*;

/// Number of plans for which the time of an evacuation of 5 s is enough at 300 ms each: 0.4 s are for
/// requests on their way, up to 1.2 s for the age of what the leader knew, and 0.5 s for the last moves.
const MAX_PLANS: usize = 9;

fn servers(count: usize) -> Vec<PlannedServer> {
    let servers = (0..count).map(|number| server(&format!("s{number}"), 5.0));
    servers.collect()
}

/// Requests of 2.5 s: `requests` for keys that are drawn evenly, and as many for 200 adjacent ones.
fn uneven_load(requests: u16) -> Vec<(u16, f64)> {
    let step = u16::MAX / requests;
    let mut weights: Vec<(u16, f64)> = (0..requests).map(|number| (number * step, 1.0)).collect();
    let hot = f64::from(requests) / 200.0;
    weights.extend((0..200).map(|number| (30_001 + number, hot)));
    weights.sort_by_key(|(key, _)| *key);
    weights.dedup_by_key(|(key, _)| *key);
    weights
}

/// Servers of which one in `part` is evacuated, and a record of all of them after balancing.
fn evacuated(count: usize, part: usize, weights: &[(u16, f64)]) -> (Vec<PlannedServer>, KeyRecord) {
    let all = servers(count);
    let record = rebalanced(crate::distributed(&all), &all, weights);
    let left = all.into_iter().enumerate();
    let left = left.filter(|(number, _)| number % part != 0);
    (left.map(|(_, server)| server).collect(), record)
}

fn next_plan(
    record: &KeyRecord,
    servers: &[PlannedServer],
    weights: &[(u16, f64)],
) -> Option<KeyPlan> {
    KeyPlanner::default().plan(record, servers, weights, |_, _| false)
}

fn leaving<'a>(
    record: &'a KeyRecord,
    left: &'a [PlannedServer],
) -> impl Iterator<Item = &'a KeyRange> {
    let ranges = record.ranges.iter();
    ranges.filter(|range| left.iter().all(|one| one.incarnation != range.owner))
}

/// Number of plans until all ranges are planned away.
fn plans_needed(mut record: KeyRecord, left: &[PlannedServer], weights: &[(u16, f64)]) -> usize {
    let mut plans = 0;
    while leaving(&record, left).count() > 0 {
        let plan = next_plan(&record, left, weights).unwrap();
        record = settled(plan.apply(&record));
        plans += 1;
    }
    plans
}

// Guards against keys that are still with their owners when these get no more requests.
#[test]
fn keys_of_an_evacuated_data_centre_are_planned_away_within_its_time() {
    for (count, part) in [(84, 4), (350, 3)] {
        for requests in [40, 400, 2_000] {
            let weights = uneven_load(requests);
            let (left, record) = evacuated(count, part, &weights);
            let ranges = leaving(&record, &left).count();
            let plans = plans_needed(record, &left, &weights);
            println!("{count} servers, {requests} requests: {ranges} ranges, {plans} plans");
            assert!(
                plans <= MAX_PLANS,
                "{count} servers, {requests} requests: {plans}"
            );
        }
    }
}

// Guards against idle keys that move first, while the requests of others wait for their turn.
#[test]
fn keys_with_load_move_before_idle_ones() {
    // Only the last eighth of the keys has requests.
    let weights: Vec<(u16, f64)> = (0..400).map(|number| (57_344 + number * 20, 1.0)).collect();
    let all = servers(350);
    let left: Vec<PlannedServer> = all.iter().step_by(2).cloned().collect();
    let load = |range: &KeyRange| {
        let own = weights
            .iter()
            .filter(|(key, _)| (range.first..=range.last).contains(key));
        own.map(|(_, weight)| weight).sum::<f64>()
    };
    let loaded = |record: &KeyRecord| {
        leaving(record, &left)
            .filter(|range| load(range) > 0.0)
            .count()
    };
    let mut record = crate::distributed(&all);
    let idle = leaving(&record, &left).count() - loaded(&record);
    assert!((20..30).contains(&loaded(&record)), "{}", loaded(&record));
    // Each loaded range is split among up to four servers, so that one plan has not room for all.
    for _ in 0..2 {
        assert_eq!(leaving(&record, &left).count() - loaded(&record), idle);
        let plan = next_plan(&record, &left, &weights).unwrap();
        record = settled(plan.apply(&record));
    }
    assert_eq!(loaded(&record), 0);
    assert!(leaving(&record, &left).count() > 100);
}

// Guards against ranges that stay where they are when the leader is lost halfway: those that it began to
// move are not settled, and the next leader knows only the record.
#[test]
fn next_leader_plans_what_is_left() {
    let weights = uneven_load(400);
    let (left, mut record) = evacuated(350, 3, &weights);
    for _ in 0..2 {
        let plan = next_plan(&record, &left, &weights).unwrap();
        record = plan.apply(&record);
    }
    let rest = leaving(&record, &left).count();
    assert!(rest > 0);
    let next = InstanceIncarnation {
        instance: "next".into(),
        incarnation: 1,
    };
    let record = record.with_leader(next);
    assert_eq!(leaving(&record, &left).count(), rest);
    assert!(plans_needed(record, &left, &weights) <= 3);
}

// Guards against keys that lose their owners, and so what these hold in memory, when there is no server
// to take them.
#[test]
fn keys_stay_with_their_owners_while_no_server_is_left() {
    let weights = uneven_load(40);
    let (left, record) = evacuated(12, 4, &weights);
    assert_eq!(next_plan(&record, &[], &weights), None);
    assert!(next_plan(&record, &left, &weights).is_some());
}
