//! Simulated instances share the rate limit of one server through a quota holder: a token bucket
//! with quota leases. Callers are spread evenly, all at one instance, or move; messages are lost;
//! the holder is lost, frozen, or followed by some instances only.

mod limit_simulation;
mod simulation_plan;

use geraniummast_routing::WarmupBound;
use limit_simulation::LimitSimulation;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use simulation_plan::{CallerSpread, HolderFault, SimulationPlan};

const INSTANCES: [usize; 5] = [1, 8, 12, 87, 300];
const LIMITS: [f64; 6] = [0.0, 0.5, 4.2, 7.4, 50.0, 1_000.0];
const DEMANDS: [f64; 4] = [0.5, 1.0, 3.0, 20.0];

/// Requests per second that a cold server should get.
const COLD_RATE: f64 = 7.3;
const COLD_BOUND: WarmupBound = WarmupBound {
    overage: 1.5,
    slack: 8.0,
};

fn plan(seed: u64) -> SimulationPlan {
    let mut rng = StdRng::seed_from_u64(seed);
    let instances = INSTANCES[rng.random_range(0..INSTANCES.len())];
    let limit = LIMITS[rng.random_range(0..LIMITS.len())];
    // The highest rates cost the most time and differ the least.
    let demands = match limit > 100.0 {
        true => &DEMANDS[..3],
        false => &DEMANDS[..],
    };
    SimulationPlan {
        seed,
        instances,
        limit,
        demand: demands[rng.random_range(0..demands.len())],
        spread: CallerSpread::ALL[rng.random_range(0..3)],
        loss: [0.0, 0.05][rng.random_range(0..2)],
        fault: HolderFault::ALL[rng.random_range(0..3)],
        is_staggered: false,
        seconds: 30,
    }
}

// Guards against instances that together send more than a server's limit allows.
#[test]
fn no_window_exceeds_the_rate_limit_of_a_server() {
    for seed in 0..200 {
        let plan = plan(seed);
        let sent = LimitSimulation::new(plan).run();
        let most = LimitSimulation::most_in_window(&sent, 4.0);
        let allowed = 1.15 * 4.0 * plan.limit + 5.0;
        assert!(
            most as f64 <= allowed,
            "{plan:?}: {most} requests in 4 s, {allowed} allowed"
        );
    }
}

// Guards against a limit that instances share so unevenly that a part of it is not used.
#[test]
fn rate_limit_of_a_server_is_used_when_demand_exceeds_it() {
    for seed in 0..200 {
        let plan = SimulationPlan {
            fault: HolderFault::None,
            ..plan(seed)
        };
        if plan.demand <= 1.0 || plan.limit == 0.0 {
            continue;
        }
        let sent = LimitSimulation::new(plan).run();
        // The first seconds, and five after each move of the callers, are left out.
        for (from, until) in plan.settled_spans() {
            let used = sent.iter().filter(|at| (from..until).contains(*at)).count();
            let wanted = 0.9 * plan.limit * (until - from);
            assert!(
                used as f64 + 1.0 >= wanted,
                "{plan:?}: {used} requests from {from} to {until} s, {wanted} wanted"
            );
        }
    }
}

/// Cold server with the rate and the bound in use, and faults that concern some instances only.
fn cold_plan(seed: u64) -> SimulationPlan {
    let mut rng = StdRng::seed_from_u64(seed);
    SimulationPlan {
        limit: COLD_BOUND.rate(COLD_RATE),
        demand: [1.0, 3.0, 20.0][rng.random_range(0..3)],
        instances: [1, 8, 12, 68, 300][rng.random_range(0..5)],
        fault: HolderFault::ALL_PARTIAL[rng.random_range(0..5)],
        is_staggered: rng.random(),
        ..plan(seed)
    }
}

// Guards against a cold server that crashes under the requests of all instances together: while
// they learn of it one by one, start, change the holder, or follow two holders or none.
#[test]
fn no_second_exceeds_the_bound_of_a_cold_server() {
    let allowed = COLD_BOUND.requests(COLD_RATE);
    for seed in 0..600 {
        let plan = cold_plan(seed);
        let sent = LimitSimulation::new(plan).run();
        let most = LimitSimulation::most_in_window(&sent, 1.0);
        assert!(
            most as f64 <= allowed,
            "{plan:?}: {most} requests in 1 s, {allowed} allowed"
        );
    }
}
