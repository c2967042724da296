//! Selection of servers under load, compared with simple policies in a simulation without a
//! network.

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{collections::BinaryHeap, time::Duration};

const SPEEDS: [f64; 6] = [0.5, 1.0, 1.0, 1.5, 0.5, 1.0];
const SLOTS: usize = 3;
/// Mean run time of a request on a server of speed 1, in seconds.
const MEAN_RUN_TIME_S: f64 = 0.16;

/// Simulated server: the end times of running requests, and the queue of waiting ones.
struct SimulatedServer {
    speed: f64,
    running: BinaryHeap<std::cmp::Reverse<u64>>,
    queue: Vec<(u64, usize, u64)>,
}

/// Selection policy of the simulated instances.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Selector,
    RoundRobin,
    Random,
    LeastOwnRequests,
}

/// Load and parameters of a simulation.
#[derive(Clone, Copy)]
struct SimulatedLoad {
    policy: Policy,
    /// Requests per second.
    rate: f64,
    instances: usize,
    servers: usize,
    /// Whether instances track the typical occupancy of servers.
    tracks_typical_occupancy: bool,
}

impl SimulatedLoad {
    /// Few instances and servers, at `rate` requests per second.
    fn small(policy: Policy, rate: f64) -> Self {
        Self {
            policy,
            rate,
            instances: 8,
            servers: SPEEDS.len(),
            tracks_typical_occupancy: true,
        }
    }
}

/// Runs a simulation; returns the latency of each completed request in seconds, sorted.
fn simulate(load: SimulatedLoad, seed: u64) -> Vec<f64> {
    let SimulatedLoad { policy, rate, .. } = load;
    let mut rng = StdRng::seed_from_u64(seed);
    let speeds: Vec<f64> = SPEEDS.into_iter().cycle().take(load.servers).collect();
    let mut servers: Vec<SimulatedServer> = speeds
        .iter()
        .map(|&speed| SimulatedServer {
            speed,
            running: BinaryHeap::new(),
            queue: Vec::new(),
        })
        .collect();
    let mut loads =
        vec![vec![LoadTracker::new(SLOTS as u32, MEAN_RUN_TIME_S); load.servers]; load.instances];
    let mut occupancies = vec![TypicalOccupancy::default(); load.instances];
    let mut next_turns = vec![0_usize; load.instances];
    let mut in_flight: Vec<(u64, usize, usize, u64)> = Vec::new();
    let mut latencies = Vec::new();
    let mut next_arrival = 0_u64;
    for step in 0..30_000_u64 {
        let now = step * 1_000;
        // Completed requests reach their instance together with the server's report.
        let due: Vec<_> = in_flight
            .extract_if(.., |request| request.0 <= now)
            .collect();
        for (end, instance, server, began) in due {
            let simulated = &mut servers[server];
            simulated.running.pop();
            if let Some((arrived, from, work)) = simulated.queue.first().copied() {
                simulated.queue.remove(0);
                let end = now + (work as f64 / simulated.speed) as u64;
                simulated.running.push(std::cmp::Reverse(end));
                in_flight.push((end, from, server, arrived));
            }
            latencies.push((end - began) as f64 / 1e6);
            let load = &mut loads[instance][server];
            load.request_ended();
            let report = ReportedLoad {
                running: simulated.running.len() as u32,
                waiting: simulated.queue.len() as u32,
                slots: SLOTS as u32,
                run_time_percent: None,
            };
            load.apply_report(report, MonoTime(now));
            occupancies[instance].record_report(load.foreign_occupancy(), MonoTime(now));
            load.record_success(Duration::from_micros(end - began), false);
        }
        while next_arrival <= now {
            next_arrival += (-rng.random::<f64>().ln() / rate * 1e6) as u64;
            let instance = rng.random_range(0..loads.len());
            let selector = ServerSelector {
                assumptions: LoadAssumptions {
                    typical_occupancy: match load.tracks_typical_occupancy {
                        true => occupancies[instance].mean(),
                        false => 0.0,
                    },
                    service_time_ratio: 1.0,
                },
                ..ServerSelector::default()
            };
            let candidates: Vec<ServerCandidate<'_>> = loads[instance]
                .iter()
                .map(|load| ServerCandidate {
                    load,
                    is_local: true,
                    was_tried: false,
                    is_warming_up: false,
                })
                .collect();
            let server = match policy {
                Policy::Selector => {
                    match selector.choose(&candidates, MonoTime(now), || rng.random()) {
                        SelectionOutcome::Send(position) => position,
                        SelectionOutcome::Wait | SelectionOutcome::Refuse => continue,
                    }
                }
                Policy::RoundRobin => {
                    next_turns[instance] += 1;
                    next_turns[instance] % servers.len()
                }
                Policy::Random => rng.random_range(0..servers.len()),
                Policy::LeastOwnRequests => (0..servers.len())
                    .min_by_key(|&server| loads[instance][server].own_requests())
                    .unwrap(),
            };
            loads[instance][server].request_started(MonoTime(now));
            let work = (MEAN_RUN_TIME_S * (0.5 + rng.random::<f64>()) * 1e6) as u64;
            let simulated = &mut servers[server];
            if simulated.running.len() < SLOTS {
                let end = now + (work as f64 / simulated.speed) as u64;
                simulated.running.push(std::cmp::Reverse(end));
                in_flight.push((end, instance, server, now));
            } else {
                simulated.queue.push((now, instance, work));
            }
        }
    }
    latencies.sort_by(f64::total_cmp);
    latencies
}

fn share_in_target(latencies: &[f64]) -> f64 {
    latencies.iter().filter(|time| **time <= 0.5).count() as f64 / latencies.len() as f64
}

#[test]
fn unequal_servers_at_75_percent_load_meet_target_latency() {
    // Capacity: total speed 5.5 x 3 slots / 0.16 s = 103 requests per second.
    for seed in 0..3 {
        let expected = share_in_target(&simulate(
            SimulatedLoad::small(Policy::Selector, 77.0),
            seed,
        ));
        assert!(expected > 0.97, "seed {seed}: {expected}");
        for naive in [Policy::RoundRobin, Policy::Random, Policy::LeastOwnRequests] {
            let other = share_in_target(&simulate(SimulatedLoad::small(naive, 77.0), seed));
            assert!(expected > other, "seed {seed}: {expected} against {other}");
        }
    }
}

#[test]
fn instances_with_stale_reports_do_not_overload_servers() {
    // 40 instances use 18 servers at 96% of their capacity. Each instance sends each server a
    // request only every 2.4 s, so its reports are stale.
    let many = SimulatedLoad {
        rate: 297.0,
        instances: 40,
        servers: 18,
        ..SimulatedLoad::small(Policy::Selector, 0.0)
    };
    for seed in 0..3 {
        let blind = SimulatedLoad {
            tracks_typical_occupancy: false,
            ..many
        };
        // Share of the offered requests, so that a request that found no room counts as a miss.
        let in_time = |load: SimulatedLoad| {
            let latencies = simulate(load, seed);
            let met = latencies.iter().filter(|time| **time <= 0.5).count();
            met as f64 / (30.0 * load.rate)
        };
        let (informed, blind) = (in_time(many), in_time(blind));
        assert!(
            informed > blind + 0.1,
            "seed {seed}: {informed} against {blind}"
        );
    }
}

#[test]
fn request_for_a_full_server_waits() {
    let mut load = LoadTracker::new(3, 0.1);
    for _ in 0..6 {
        load.request_started(MonoTime(0));
    }
    let candidate = ServerCandidate {
        load: &load,
        is_local: true,
        was_tried: false,
        is_warming_up: false,
    };
    let selector = ServerSelector::default();
    assert_eq!(
        selector.choose(&[candidate], MonoTime(0), || 0.5),
        SelectionOutcome::Wait
    );
    let tried = ServerCandidate {
        was_tried: true,
        ..candidate
    };
    assert_eq!(
        selector.choose(&[tried], MonoTime(0), || 0.5),
        SelectionOutcome::Refuse
    );
}
