//! Seeded histories of faults around the real election and grants, with a simulated store, network
//! and servers. After every step, invariants are checked on the grants that the servers hold.

mod fakes;
mod fleet_message;
mod fleet_simulation;
mod instance_steps;
mod server_steps;

mod prelude {
    pub(crate) use {
        crate::{fakes::*, fleet_message::*, fleet_simulation::FleetSimulation, *},
        geraniummast_model::*,
        geraniummast_ownership::*,
        indexmap::IndexMap,
        rand::{RngExt, SeedableRng, rngs::SmallRng},
        std::time::Duration,
    };
}

use prelude::*;

const INSTANCES: usize = 5;
const SERVERS: usize = 4;
/// Lowest average number of steps of a history in which every slice has a valid grant.
const SERVED_STEPS: u64 = 200;
/// Steps in which faults are injected.
const FAULTY_STEPS: usize = 600;
/// Steps without faults within which every slice must be served again.
const RECOVERY_STEPS: usize = 1_200;
const STEP: Duration = Duration::from_millis(5);
/// Histories run in total, divided between `THREADS` threads.
const HISTORIES: u64 = 2_000;
const THREADS: u64 = 4;

fn run_history(seed: u64) -> u64 {
    let mut simulation = FleetSimulation::new(seed);
    for _ in 0..FAULTY_STEPS {
        simulation.step();
    }
    simulation.end_faults();
    let mut steps = 0;
    while !simulation.all_served() {
        simulation.step();
        steps += 1;
        assert!(
            steps < RECOVERY_STEPS,
            "slices not served {steps} steps after the last fault"
        );
    }
    simulation.served_steps
}

#[test]
fn fault_histories_never_have_two_owners_and_recover() {
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                let mut served = 0;
                for seed in (thread..HISTORIES).step_by(THREADS as usize) {
                    let outcome = std::panic::catch_unwind(|| run_history(seed));
                    served += outcome.unwrap_or_else(|_| panic!("history of seed {seed} failed"));
                }
                assert!(
                    served > HISTORIES / THREADS * SERVED_STEPS,
                    "only {served} steps had a grant for every slice"
                );
            });
        }
    });
}
