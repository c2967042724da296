//! Choice among servers under load, against the naive choices, in a model without network.

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{collections::BinaryHeap, time::Duration};

const SPEEDS: [f64; 6] = [0.5, 1.0, 1.0, 1.5, 0.5, 1.0];
const SLOTS: usize = 3;
/// Time that a request runs on a server of speed 1, in seconds.
const WORK: f64 = 0.16;

/// A server of the model: running requests by their end, and a queue.
struct ModelServer {
    speed: f64,
    running: BinaryHeap<std::cmp::Reverse<u64>>,
    queue: Vec<(u64, usize, u64)>,
}

/// How an instance of the model chooses.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Expected,
    RoundRobin,
    Random,
    LeastOwn,
}

/// A load of the model.
#[derive(Clone, Copy)]
struct ModelLoad {
    policy: Policy,
    /// Requests a second.
    rate: f64,
    instances: usize,
    servers: usize,
    /// Whether instances know how full servers usually are.
    knows_usual: bool,
}

impl ModelLoad {
    /// Few instances and servers, at `rate` requests a second.
    fn small(policy: Policy, rate: f64) -> Self {
        Self {
            policy,
            rate,
            instances: 8,
            servers: SPEEDS.len(),
            knows_usual: true,
        }
    }
}

/// Time in the system of each request, in seconds.
fn play(load: ModelLoad, seed: u64) -> Vec<f64> {
    let ModelLoad { policy, rate, .. } = load;
    let mut rng = StdRng::seed_from_u64(seed);
    let speeds: Vec<f64> = SPEEDS.into_iter().cycle().take(load.servers).collect();
    let mut servers: Vec<ModelServer> = speeds
        .iter()
        .map(|&speed| ModelServer {
            speed,
            running: BinaryHeap::new(),
            queue: Vec::new(),
        })
        .collect();
    let mut loads = vec![vec![LoadTracker::new(SLOTS as u32, WORK); load.servers]; load.instances];
    let mut fills = vec![TypicalOccupancy::default(); load.instances];
    let mut turns = vec![0_usize; load.instances];
    let mut flying: Vec<(u64, usize, usize, u64)> = Vec::new();
    let mut times = Vec::new();
    let mut next_arrival = 0_u64;
    for step in 0..30_000_u64 {
        let now = step * 1_000;
        // Ends of requests reach their instance with the server's report.
        let due: Vec<_> = flying.extract_if(.., |request| request.0 <= now).collect();
        for (end, instance, server, began) in due {
            let model = &mut servers[server];
            model.running.pop();
            if let Some((arrived, from, work)) = model.queue.first().copied() {
                model.queue.remove(0);
                let end = now + (work as f64 / model.speed) as u64;
                model.running.push(std::cmp::Reverse(end));
                flying.push((end, from, server, arrived));
            }
            times.push((end - began) as f64 / 1e6);
            let load = &mut loads[instance][server];
            load.request_ended();
            let report = ReportedLoad {
                running: model.running.len() as u32,
                waiting: model.queue.len() as u32,
                slots: SLOTS as u32,
            };
            load.apply_report(report, MonoTime(now));
            fills[instance].record_report(load.foreign_occupancy(), MonoTime(now));
            load.record_success(Duration::from_micros(end - began), false);
        }
        while next_arrival <= now {
            next_arrival += (-rng.random::<f64>().ln() / rate * 1e6) as u64;
            let instance = rng.random_range(0..loads.len());
            let choice = ServerSelector {
                assumptions: LoadAssumptions {
                    typical_occupancy: match load.knows_usual {
                        true => fills[instance].mean(),
                        false => 0.0,
                    },
                    service_time_ratio: 1.0,
                },
                ..ServerSelector::default()
            };
            let inputs: Vec<ServerCandidate<'_>> = loads[instance]
                .iter()
                .map(|load| ServerCandidate {
                    load,
                    is_local: true,
                    was_tried: false,
                    is_warming_up: false,
                })
                .collect();
            let server = match policy {
                Policy::Expected => match choice.choose(&inputs, MonoTime(now), || rng.random()) {
                    SelectionOutcome::Send(position) => position,
                    SelectionOutcome::Wait | SelectionOutcome::Refuse => continue,
                },
                Policy::RoundRobin => {
                    turns[instance] += 1;
                    turns[instance] % servers.len()
                }
                Policy::Random => rng.random_range(0..servers.len()),
                Policy::LeastOwn => (0..servers.len())
                    .min_by_key(|&server| loads[instance][server].own_requests())
                    .unwrap(),
            };
            loads[instance][server].request_started(MonoTime(now));
            let work = (WORK * (0.5 + rng.random::<f64>()) * 1e6) as u64;
            let model = &mut servers[server];
            if model.running.len() < SLOTS {
                let end = now + (work as f64 / model.speed) as u64;
                model.running.push(std::cmp::Reverse(end));
                flying.push((end, instance, server, now));
            } else {
                model.queue.push((now, instance, work));
            }
        }
    }
    times.sort_by(f64::total_cmp);
    times
}

fn in_target(times: &[f64]) -> f64 {
    times.iter().filter(|time| **time <= 0.5).count() as f64 / times.len() as f64
}

#[test]
fn unequal_servers_at_three_quarters_of_their_capacity_answer_in_time() {
    // Capacity: 5.5 speeds x 3 slots / 0.16 s = 103 requests a second.
    for seed in 0..3 {
        let expected = in_target(&play(ModelLoad::small(Policy::Expected, 77.0), seed));
        assert!(expected > 0.97, "seed {seed}: {expected}");
        for naive in [Policy::RoundRobin, Policy::Random, Policy::LeastOwn] {
            let other = in_target(&play(ModelLoad::small(naive, 77.0), seed));
            assert!(expected > other, "seed {seed}: {expected} against {other}");
        }
    }
}

#[test]
fn many_instances_that_seldom_meet_a_server_do_not_overfill_it() {
    // Pattern: 40 instances before 18 servers at 96% of their capacity, so that an instance sends a
    // server a request each 2.4 s and has but old reports of it.
    let many = ModelLoad {
        rate: 297.0,
        instances: 40,
        servers: 18,
        ..ModelLoad::small(Policy::Expected, 0.0)
    };
    for seed in 0..3 {
        let blind = ModelLoad {
            knows_usual: false,
            ..many
        };
        // Of what was offered, so that a request that found no room counts as missed.
        let in_time = |load: ModelLoad| {
            let times = play(load, seed);
            let met = times.iter().filter(|time| **time <= 0.5).count();
            met as f64 / (30.0 * load.rate)
        };
        let (knowing, blind) = (in_time(many), in_time(blind));
        assert!(
            knowing > blind + 0.1,
            "seed {seed}: {knowing} against {blind}"
        );
    }
}

#[test]
fn a_server_that_fails_three_times_rests_and_is_tried_by_one_request() {
    let mut load = LoadTracker::new(3, 0.1);
    for _ in 0..3 {
        load.record_failure(MonoTime(0));
    }
    assert!(load.is_ejected(MonoTime(100_000)));
    assert!(!load.is_ejected(MonoTime(500_000)));
    load.request_started(MonoTime(500_000));
    assert!(
        load.is_ejected(MonoTime(510_000)),
        "a second one is held off"
    );
    load.record_success(Duration::from_millis(90), false);
    load.request_ended();
    assert!(!load.is_ejected(MonoTime(600_000)));
}

#[test]
fn a_report_counts_the_requests_of_others_and_fades() {
    let mut load = LoadTracker::new(3, 0.1);
    load.request_started(MonoTime(0));
    let report = ReportedLoad {
        running: 3,
        waiting: 2,
        slots: 3,
    };
    load.apply_report(report, MonoTime(0));
    let blank = LoadAssumptions::default();
    let usual = LoadAssumptions {
        typical_occupancy: 0.5,
        ..blank
    };
    assert!((load.estimated_requests(MonoTime(0), blank) - 5.0).abs() < 1e-9);
    assert!((load.estimated_requests(MonoTime(500_000), blank) - 3.0).abs() < 1e-9);
    // Of an old report, what servers usually have takes the place.
    assert!((load.estimated_requests(MonoTime(500_000), usual) - 3.75).abs() < 1e-9);
    assert!((load.estimated_requests(MonoTime(60_000_000), usual) - 2.5).abs() < 1e-9);
}

#[test]
fn a_full_server_is_not_sent_more_and_the_request_waits() {
    let mut load = LoadTracker::new(3, 0.1);
    for _ in 0..6 {
        load.request_started(MonoTime(0));
    }
    let input = ServerCandidate {
        load: &load,
        is_local: true,
        was_tried: false,
        is_warming_up: false,
    };
    let choice = ServerSelector::default();
    assert_eq!(
        choice.choose(&[input], MonoTime(0), || 0.5),
        SelectionOutcome::Wait
    );
    let tried = ServerCandidate {
        was_tried: true,
        ..input
    };
    assert_eq!(
        choice.choose(&[tried], MonoTime(0), || 0.5),
        SelectionOutcome::Refuse
    );
}

#[test]
fn a_server_that_answers_nobody_is_left_alone_until_it_is_heard() {
    let mut load = LoadTracker::new(3, 0.1);
    load.request_started(MonoTime(0));
    load.request_started(MonoTime(100_000));
    assert!(!load.is_silent(MonoTime(590_000)));
    assert!(load.is_ejected(MonoTime(610_000)));
    load.record_answer(MonoTime(620_000));
    load.request_ended();
    assert!(
        !load.is_ejected(MonoTime(630_000)),
        "one answer shows that it lives"
    );
    load.request_ended();
    assert!(!load.is_ejected(MonoTime(9_000_000)), "nothing waits there");
}

#[test]
fn short_work_is_expected_to_be_done_sooner_than_the_mean_of_its_service() {
    // Pattern: two routes on one service, one of 0.2 s with a target of 0.6 s, one of 0.64 s.
    let load = LoadTracker::new(6, 0.55);
    let short = LoadAssumptions {
        service_time_ratio: 0.36,
        ..LoadAssumptions::default()
    };
    assert!(load.expected_completion(MonoTime(0), short) < 0.21);
    assert!(load.expected_completion(MonoTime(0), LoadAssumptions::default()) > 0.5);
}
