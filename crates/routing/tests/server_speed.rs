//! Selection among servers that share their machines with others, whose work slows them down for
//! fractions of a second, and that report the speed of the moment.

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

const RUN_TIME_S: f64 = 0.1;

fn report(percent: Option<u32>) -> ReportedLoad {
    ReportedLoad {
        running: 0,
        waiting: 0,
        slots: 4,
        run_time_percent: percent,
    }
}

fn tracker(percent: Option<u32>, now: MonoTime) -> LoadTracker {
    let mut load = LoadTracker::new(4, RUN_TIME_S);
    load.apply_report(report(percent), now);
    load
}

fn candidates(loads: &[LoadTracker]) -> Vec<ServerCandidate<'_>> {
    let candidate = |load| ServerCandidate {
        load,
        is_local: true,
        was_tried: false,
        is_warming_up: false,
    };
    loads.iter().map(candidate).collect()
}

// Guards against estimates that follow a figure that has long changed, or an absurd one.
#[test]
fn reported_run_time_has_a_bounded_effect_that_fades_with_age() {
    let start = MonoTime(1_000_000);
    let at = |millis: u64| start.after(Duration::from_millis(millis));
    let slow = tracker(Some(200), start);
    let factors: Vec<f64> = [0, 100, 200, 300]
        .map(|millis| slow.run_time_factor(at(millis)).unwrap())
        .into();
    assert!(
        factors.is_sorted_by(|one, other| one > other),
        "{factors:?}"
    );
    assert!(factors[0] > 1.7 && factors[0] <= 2.0, "{factors:?}");
    assert_eq!(slow.run_time_factor(at(400)), None);
    for (percent, bound) in [(u32::MAX, 3.0), (1, 0.5)] {
        let load = tracker(Some(percent), start);
        let factor = load.run_time_factor(start).unwrap();
        assert!((factor.ln() / f64::ln(bound)) <= 1.0, "{percent}: {factor}");
    }
    assert_eq!(tracker(None, start).run_time_factor(start), None);
}

// Guards against counting twice what slows a server all the time: its measured run time has it.
#[test]
fn figure_that_is_always_the_same_has_no_effect() {
    let mut load = LoadTracker::new(4, RUN_TIME_S);
    let now = MonoTime(1_000_000);
    for _ in 0..200 {
        load.apply_report(report(Some(180)), now);
        load.record_success(Duration::from_millis(180), false);
    }
    assert!((load.run_time_factor(now).unwrap() - 1.0).abs() < 1e-3);
}

// Guards against a change of the selection for servers that report no figure.
#[test]
fn servers_without_a_figure_need_no_further_random_numbers() {
    let loads = vec![tracker(None, MonoTime(0)); 12];
    let mut draws = 0;
    let outcome = ServerSelector::default().choose(&candidates(&loads), MonoTime(0), || {
        draws += 1;
        if draws == 7 { 0.1 } else { 0.6 }
    });
    assert_eq!((outcome, draws), (SelectionOutcome::Send(6), 12));
}

// Guards against instances that all send their next request to the one fast server.
#[test]
fn instances_that_read_the_same_figures_spread_over_servers() {
    let mut rng = StdRng::seed_from_u64(7);
    let now = MonoTime(0);
    for others in [100, 200] {
        let mut loads = vec![tracker(Some(others), now); 12];
        loads[3] = tracker(Some(others / 2), now);
        let mut chosen = [0; 12];
        for _ in 0..68 {
            let outcome =
                ServerSelector::default().choose(&candidates(&loads), now, || rng.random());
            let SelectionOutcome::Send(position) = outcome else {
                panic!("{outcome:?}");
            };
            chosen[position] += 1;
        }
        let fair = 68 / 12;
        assert!(chosen[3] > 2 * fair && chosen[3] < 68 / 2, "{chosen:?}");
        assert!(
            chosen.iter().filter(|count| **count > 0).count() >= 10,
            "{chosen:?}"
        );
    }
}

/// Request at a server, in the order of ends: end, instance, server, arrival and start.
type RunningRequest = Reverse<(u64, usize, usize, u64, u64)>;

/// Simulated server and its machine.
struct SharedServer {
    percent: f64,
    changes_at: u64,
    running: usize,
    queue: Vec<(u64, usize, f64)>,
}

/// Returns the mean latency in seconds of requests that instances send to 12 servers. Each machine's
/// speed changes every 0.2 s on average.
fn simulate(instances: usize, reports_speed: bool, rate: f64, seed: u64) -> f64 {
    const SLOTS: usize = 4;
    let mut rng = StdRng::seed_from_u64(seed);
    let new_server = || SharedServer {
        percent: 100.0,
        changes_at: 0,
        running: 0,
        queue: Vec::new(),
    };
    let mut servers: Vec<SharedServer> = (0..12).map(|_| new_server()).collect();
    let mut loads = vec![vec![LoadTracker::new(SLOTS as u32, RUN_TIME_S); 12]; instances];
    let mut in_flight: BinaryHeap<RunningRequest> = BinaryHeap::new();
    let mut latencies = Vec::new();
    let mut next_arrival = 0;
    for now in (0..20_000_000_u64).step_by(1_000) {
        for server in &mut servers {
            if server.changes_at <= now {
                server.percent = [60.0, 100.0, 100.0, 250.0][rng.random_range(0..4)];
                server.changes_at = now + rng.random_range(50_000..350_000);
            }
        }
        while let Some(&Reverse((end, instance, position, began, started))) = in_flight.peek()
            && end <= now
        {
            in_flight.pop();
            let server = &mut servers[position];
            server.running -= 1;
            if !server.queue.is_empty() {
                let (arrived, from, work) = server.queue.remove(0);
                server.running += 1;
                let end = now + (work * server.percent * 1e4) as u64;
                in_flight.push(Reverse((end, from, position, arrived, now)));
            }
            let load = &mut loads[instance][position];
            load.request_ended();
            let report = ReportedLoad {
                running: server.running as u32,
                waiting: server.queue.len() as u32,
                slots: SLOTS as u32,
                run_time_percent: reports_speed.then_some(server.percent as u32),
            };
            load.apply_report(report, MonoTime(now));
            load.record_success(Duration::from_micros(end - began), started > began);
            latencies.push((end - began) as f64 / 1e6);
        }
        while next_arrival <= now {
            next_arrival += (-rng.random::<f64>().ln() / rate * 1e6) as u64;
            let instance = rng.random_range(0..instances);
            let outcome = ServerSelector::default().choose(
                &candidates(&loads[instance]),
                MonoTime(now),
                || rng.random(),
            );
            let SelectionOutcome::Send(position) = outcome else {
                continue;
            };
            loads[instance][position].request_started(MonoTime(now));
            let work = RUN_TIME_S * (0.5 + rng.random::<f64>());
            let server = &mut servers[position];
            if server.running < SLOTS {
                server.running += 1;
                let end = now + (work * server.percent * 1e4) as u64;
                in_flight.push(Reverse((end, instance, position, now, now)));
            } else {
                server.queue.push((now, instance, work));
            }
        }
    }
    latencies.iter().sum::<f64>() / latencies.len() as f64
}

// Guards against a use of the figure that makes requests slower: a herd of instances, or a choice
// among too few servers.
#[test]
fn servers_that_report_their_speed_serve_requests_faster() {
    for (instances, rate, min_gain) in [(4, 200.0, 0.1), (12, 300.0, 0.06), (68, 300.0, 0.03)] {
        let mean = |reports_speed| {
            let means = (0..8).map(|seed| simulate(instances, reports_speed, rate, seed));
            means.sum::<f64>() / 8.0
        };
        let (without, with) = (mean(false), mean(true));
        assert!(
            with < without * (1.0 - min_gain),
            "{instances} instances: {with} s with the figure, {without} s without"
        );
    }
}
