//! Plans for a service of 350 servers and of ten times as many, as bounds meant for a few dozen
//! servers see it.

use crate::{distributed, rebalanced, server, settled, share};
use geraniummast_routing::*;

fn servers(count: usize) -> Vec<PlannedServer> {
    (0..count)
        .map(|number| server(&format!("s{number}"), 5.0))
        .collect()
}

/// Requests of 2.5 s for keys that are drawn evenly, in the order of keys.
fn even_load(requests: u16) -> Vec<(u16, f64)> {
    let step = u16::MAX / requests;
    (0..requests).map(|number| (number * step, 1.0)).collect()
}

// Guards against keys that change hands without end on a calm day, since each server's only range is
// small and counts as one too many.
#[test]
fn ranges_of_an_evenly_loaded_service_stay_where_they_are() {
    for count in [350, 3_500] {
        let servers = servers(count);
        let mut record = distributed(&servers);
        let before = record.clone();
        // Few of the servers have a request in the window, as on a calm day.
        let weights = even_load(60);
        for _ in 0..10 {
            match KeyPlanner::default().plan(&record, &servers, &weights, |_, _| false) {
                Some(next) => record = settled(next.apply(&record)),
                None => break,
            }
        }
        assert_eq!(record, before, "{count} servers");
    }
}

// Guards against a plan that stops for balance with as many ranges as servers.
#[test]
fn hot_span_of_a_service_of_350_servers_is_split_over_many() {
    let servers = servers(350);
    let mut weights = even_load(2_000);
    weights.extend((0..200).map(|number| (30_001 + number, 6.0)));
    weights.sort_by_key(|(key, _)| *key);
    weights.dedup_by_key(|(key, _)| *key);
    let record = rebalanced(distributed(&servers), &servers, &weights);
    let mut shares = servers
        .iter()
        .map(|one| share(&record, &one.incarnation.id, &weights));
    let largest = shares.by_ref().fold(0.0, f64::max);
    // A fair share is 0.3%; of the 200 hot keys each has 0.2%.
    assert!(largest < 0.012, "{largest}");
}

// Guards against a hot span that outlives its split: each round of moves takes as long as the requests
// that run on the span, and halving the load of one owner needs as many rounds as its logarithm.
#[test]
fn hot_span_is_spread_over_a_hundred_servers_in_few_plans() {
    let servers = servers(350);
    // The window of 2.5 s holds 1,800 requests, 37% of them for 200 adjacent keys.
    let mut weights = even_load(1_130);
    weights.extend((0..200).map(|number| (30_001 + number, 3.35)));
    weights.sort_by_key(|(key, _)| *key);
    weights.dedup_by_key(|(key, _)| *key);
    let mut record = distributed(&servers);
    for _ in 0..3 {
        if let Some(plan) = KeyPlanner::default().plan(&record, &servers, &weights, |_, _| false) {
            record = settled(plan.apply(&record));
        }
    }
    let shares = servers
        .iter()
        .map(|one| share(&record, &one.incarnation.id, &weights));
    let largest = shares.fold(0.0, f64::max);
    // A server of three slots runs twice the fair share of 0.3% without a queue.
    assert!(largest < 0.01, "{largest}");
}

// Guards against a plan that no heartbeat can tell, so that all instances read the whole record from
// the leader at the same time while a third of the servers are lost.
#[test]
fn ranges_of_many_lost_servers_move_in_plans_that_a_heartbeat_can_tell() {
    let all = servers(350);
    let mut record = distributed(&all);
    let left: Vec<PlannedServer> = all.iter().skip(100).cloned().collect();
    let is_lost = |range: &&KeyRange| left.iter().all(|one| one.incarnation != range.owner);
    // Four plans take 1.2 s, less than the grants of lost servers need to expire.
    for _ in 0..4 {
        let plan = KeyPlanner::default().plan(&record, &left, &even_load(60), |_, _| true);
        if let Some(KeyPlan::Change(delta)) = &plan {
            assert!(delta.len() <= 45, "{} ranges", delta.len());
        }
        if let Some(plan) = plan {
            record = settled(plan.apply(&record));
        }
    }
    assert_eq!(record.ranges.iter().filter(is_lost).count(), 0);
}

// Guards against an owner that is left without keys, and so without requests, for the sake of fewer
// ranges.
#[test]
fn tidying_leaves_no_server_without_keys() {
    let servers = servers(350);
    let mut record = distributed(&servers);
    // A hot span that wandered over the keys has left many small ranges behind.
    let owners: Vec<ServerIncarnation> = servers
        .iter()
        .map(|server| server.incarnation.clone())
        .collect();
    for number in 0..900_u32 {
        let first = (number * 72) as u16;
        let Some(range) = record.range_of(first).cloned() else {
            continue;
        };
        let last = range.last.min(first.saturating_add(6));
        record.assign(
            first,
            last,
            &owners[(number as usize * 31) % owners.len()],
            true,
        );
    }
    let mut record = settled(record);
    let before = record.ranges.len();
    let weights = even_load(60);
    for _ in 0..200 {
        match KeyPlanner::default().plan(&record, &servers, &weights, |_, _| false) {
            Some(next) => record = settled(next.apply(&record)),
            None => break,
        }
    }
    assert!(
        record.ranges.len() < before / 2,
        "{} of {before}",
        record.ranges.len()
    );
    for owner in &owners {
        let owned = record.ranges.iter().filter(|range| range.owner == *owner);
        assert!(owned.count() > 0, "{owner} owns nothing");
    }
}
