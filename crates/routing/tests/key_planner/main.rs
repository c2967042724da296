//! Plans of moves for hot spans of keys, servers of different capacity, and servers that join and
//! leave.

mod evacuated_servers;
mod large_service;
mod limited_servers;

use geraniummast_routing::*;

fn server(id: &str, capacity: f64) -> PlannedServer {
    PlannedServer {
        incarnation: ServerIncarnation {
            id: id.into(),
            born: 1,
        },
        capacity,
        limit: None,
    }
}

fn leader() -> InstanceIncarnation {
    InstanceIncarnation {
        instance: "i".into(),
        incarnation: 1,
    }
}

fn settled(mut record: KeyRecord) -> KeyRecord {
    for range in &mut record.ranges {
        range.state = RangeState::Settled;
    }
    record
}

fn distributed(servers: &[PlannedServer]) -> KeyRecord {
    let record = KeyRecord::new("reports", leader());
    let planned = KeyPlanner::default().plan(&record, servers, &[], |_, _| false);
    settled(planned.unwrap().apply(&record))
}

fn share(record: &KeyRecord, id: &str, weights: &[(u16, f64)]) -> f64 {
    let owned = |key: &u16| record.range_of(*key).unwrap().owner.id == id;
    let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
    let own: f64 = weights
        .iter()
        .filter(|(key, _)| owned(key))
        .map(|(_, weight)| weight)
        .sum();
    own / total
}

fn covers_all_keys(record: &KeyRecord) -> bool {
    let keys: u32 = record.ranges.iter().map(KeyRange::len).sum();
    record.invariant_violation().is_none() && keys == 1 << 16
}

/// Plans until nothing is due; each plan is executed before the next.
fn rebalanced(
    mut record: KeyRecord,
    servers: &[PlannedServer],
    weights: &[(u16, f64)],
) -> KeyRecord {
    for _ in 0..40 {
        match KeyPlanner::default().plan(&record, servers, weights, |_, _| false) {
            Some(next) => record = settled(next.apply(&record)),
            None => return record,
        }
        assert!(covers_all_keys(&record));
    }
    panic!("planning did not converge");
}

#[test]
fn initial_distribution_follows_capacity_and_covers_all_keys() {
    let servers = [server("slow", 5.0), server("fast", 15.0)];
    let record = distributed(&servers);
    assert!(covers_all_keys(&record));
    let keys = |id: &str| -> u32 {
        let owned = record.ranges.iter().filter(|range| range.owner.id == id);
        owned.map(KeyRange::len).sum()
    };
    assert_eq!(keys("slow"), 16_384);
    assert_eq!(keys("fast"), 49_152);
}

#[test]
fn hot_span_is_split_over_servers_while_few_keys_move() {
    let servers: Vec<_> = (0..9).map(|n| server(&format!("s{n}"), 25.0)).collect();
    let before = distributed(&servers);
    // 40% of the requests are for 200 adjacent keys, the rest is spread evenly.
    let mut weights: Vec<(u16, f64)> = (0..600).map(|n| (n * 109, 0.6)).collect();
    weights.extend((0..200).map(|n| (30_001 + n, 1.2)));
    weights.sort_by_key(|(key, _)| *key);
    weights.dedup_by_key(|(key, _)| *key);
    let after = rebalanced(before.clone(), &servers, &weights);
    for server in &servers {
        let share = share(&after, &server.incarnation.id, &weights);
        assert!(share < 1.35 / 9.0, "{} has {share}", server.incarnation.id);
    }
    let moved: u32 = after
        .ranges
        .iter()
        .filter(|range| before.range_of(range.first).unwrap().owner != range.owner)
        .map(KeyRange::len)
        .sum();
    assert!(moved < 1 << 14, "{moved} keys moved");
}

#[test]
fn load_is_balanced_by_capacity_of_servers() {
    let servers = [
        server("slow", 12.5),
        server("mean", 25.0),
        server("fast", 37.5),
    ];
    let weights: Vec<(u16, f64)> = (0..1_000).map(|n| (n * 65, 1.0)).collect();
    let equal = [
        server("slow", 1.0),
        server("mean", 1.0),
        server("fast", 1.0),
    ];
    let record = rebalanced(distributed(&equal), &servers, &weights);
    assert!(share(&record, "slow", &weights) < 0.21);
    assert!(share(&record, "fast", &weights) > 0.43);
}

#[test]
fn joining_server_gets_load_without_overloaded_servers() {
    let mut servers: Vec<_> = (0..12).map(|n| server(&format!("s{n}"), 25.0)).collect();
    let record = distributed(&servers);
    servers.push(server("new", 25.0));
    let weights: Vec<(u16, f64)> = (0..1_300).map(|n| (n * 50, 1.0)).collect();
    let record = rebalanced(record, &servers, &weights);
    assert!(share(&record, "new", &weights) > 0.04);
}

#[test]
fn leaving_server_has_to_release_its_keys_to_the_others() {
    let all = [server("s1", 1.0), server("s2", 1.0), server("s3", 1.0)];
    let record = distributed(&all);
    let remaining = [server("s1", 1.0), server("s3", 1.0)];
    let planned = KeyPlanner::default()
        .plan(&record, &remaining, &[], |_, _| false)
        .unwrap()
        .apply(&record);
    assert!(covers_all_keys(&planned));
    for range in &planned.ranges {
        assert_ne!(range.owner.id, "s2");
        if let RangeState::Moving { previous } = &range.state {
            assert_eq!(previous.as_ref().unwrap().id, "s2");
        }
    }
}

#[test]
fn keys_of_an_ended_server_move_without_release_under_a_higher_fence() {
    let all = [server("s1", 1.0), server("s2", 1.0)];
    let record = distributed(&all);
    let remaining = [server("s1", 1.0)];
    let planned = KeyPlanner::default()
        .plan(&record, &remaining, &[], |server, _| server.id == "s2")
        .unwrap()
        .apply(&record);
    let moved = planned.ranges.iter().filter(|range| !range.is_settled());
    for range in moved {
        assert_eq!(range.state, RangeState::Moving { previous: None });
        assert!(range.fence > record.last_fence);
    }
}

#[test]
fn moving_range_waits_until_grant_of_ended_owner_expires() {
    let all = [server("s1", 1.0), server("s2", 1.0), server("s3", 1.0)];
    let mut record = distributed(&all);
    let range = record.ranges[0].clone();
    record.assign(range.first, range.last, &all[1].incarnation, false);
    let remaining = [server("s1", 1.0), server("s3", 1.0)];
    let planned = KeyPlanner::default()
        .plan(&record, &remaining, &[], |_, _| false)
        .map(|plan| plan.apply(&record));
    let kept = planned
        .as_ref()
        .unwrap_or(&record)
        .range_of(range.first)
        .unwrap();
    assert_eq!(kept.owner.id, "s2");
}

#[test]
fn hot_key_does_not_block_relief_of_other_servers() {
    let servers: Vec<_> = (0..8).map(|n| server(&format!("s{n}"), 25.0)).collect();
    let record = distributed(&servers);
    // One key of s0 has most of the load; s1 is overloaded by many keys.
    let mut weights = vec![(5_u16, 400.0)];
    weights.extend((0..200).map(|n| (8_300 + n * 10, 1.0)));
    let after = rebalanced(record, &servers, &weights);
    let other_weights = &weights[1..];
    // The overload ratio of 1.2 times the mean load of 75 is 90, of a total of 200.
    let relieved = share(&after, "s1", other_weights);
    assert!(relieved <= 0.45, "{relieved}");
}

#[test]
fn adjacent_ranges_of_one_owner_are_merged_under_a_higher_fence() {
    let servers = [server("s1", 1.0), server("s2", 1.0)];
    let mut record = distributed(&servers);
    let last = record.last_fence;
    for key in (0..30_000).step_by(1_000) {
        record.assign(key, key + 499, &servers[0].incarnation, true);
    }
    let record = settled(record);
    assert!(record.ranges.len() > 60);
    let mut merged = record.clone();
    for _ in 0..4 {
        let planner = KeyPlanner {
            min_spare_ranges: 1,
            ..KeyPlanner::default()
        };
        match planner.plan(&merged, &servers, &[], |_, _| false) {
            Some(plan) => merged = plan.apply(&merged),
            None => break,
        }
        assert!(covers_all_keys(&merged));
    }
    assert_eq!(merged.ranges.len(), 2, "{:?}", merged.ranges);
    assert!(merged.ranges[0].fence > last);
    assert!(merged.ranges.iter().all(KeyRange::is_settled));
}

#[test]
fn changing_hot_spans_leave_few_ranges_behind() {
    // 200 adjacent keys with 40% of the requests change their place every few seconds.
    let servers: Vec<_> = (0..12).map(|n| server(&format!("s{n}"), 25.0)).collect();
    let mut record = distributed(&servers);
    for hot_span in 0..40_u16 {
        let mut weights: Vec<(u16, f64)> = (0..600).map(|n| (n * 109, 0.6)).collect();
        weights.extend((0..200).map(|n| (hot_span * 1_500 + n, 1.2)));
        weights.sort_by_key(|(key, _)| *key);
        weights.dedup_by_key(|(key, _)| *key);
        for _ in 0..10 {
            if let Some(plan) =
                KeyPlanner::default().plan(&record, &servers, &weights, |_, _| false)
            {
                record = settled(plan.apply(&record));
            }
        }
    }
    // Halfway between the merge threshold and the number of ranges at which balancing stops.
    let count = record.ranges.len();
    assert!(count < 300, "{count} ranges after 40 hot spans");
}

#[test]
fn hot_key_moves_to_a_faster_server_only() {
    // A third of all requests are for one key. It must not move back and forth between servers of
    // the same capacity because one of them has less other load.
    let weight = |key: u16| match key {
        3_200 => 100.0,
        ..=7_281 => 1.8,
        58_000.. => 0.3,
        _ => 1.0,
    };
    let weights: Vec<(u16, f64)> = (0..200).map(|n| (n * 320, weight(n * 320))).collect();
    let equal_servers: Vec<_> = (0..9).map(|n| server(&format!("s{n}"), 25.0)).collect();
    let record = distributed(&equal_servers);
    let owner = record.range_of(3_200).unwrap().owner.clone();
    let after = rebalanced(record.clone(), &equal_servers, &weights);
    assert_eq!(after.range_of(3_200).unwrap().owner, owner);
    let mut unequal_servers = equal_servers.clone();
    unequal_servers[0].capacity = 12.0;
    unequal_servers[5].capacity = 40.0;
    let after = rebalanced(record, &unequal_servers, &weights);
    assert_eq!(after.range_of(3_200).unwrap().owner.id, "s5");
}
