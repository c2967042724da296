//! Seeded histories of faults over the real decisions, with small fakes for the store, the messages
//! and the servers. Invariants are checked from the servers' point of view after every step.

mod fakes;
mod instance_runs;
mod message;
mod server_checks;
mod world;

mod prelude {
    pub(crate) use {
        crate::{fakes::*, message::*, world::World, *},
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
/// Steps of a history on average in which every slice has a standing grant, at least.
const SERVED_STEPS: u64 = 200;
/// Steps with faults.
const FAULTY_STEPS: usize = 600;
/// Steps after the end of faults within which all is served again.
const RECOVERY_STEPS: usize = 1_200;
const STEP: Duration = Duration::from_millis(5);
/// Histories run in all, over a few threads.
const HISTORIES: u64 = 2_000;
const THREADS: u64 = 4;

fn run_history(seed: u64) -> u64 {
    let mut world = World::new(seed);
    for _ in 0..FAULTY_STEPS {
        world.step();
    }
    world.end_faults();
    let mut steps = 0;
    while !world.all_served() {
        world.step();
        steps += 1;
        assert!(
            steps < RECOVERY_STEPS,
            "not served again after {steps} steps"
        );
    }
    world.served_steps
}

#[test]
fn no_history_has_two_owners_and_each_ends_served() {
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                let mut served = 0;
                for seed in (thread..HISTORIES).step_by(THREADS as usize) {
                    let outcome = std::panic::catch_unwind(|| run_history(seed));
                    served += outcome.unwrap_or_else(|_| panic!("history of seed {seed}"));
                }
                assert!(
                    served > HISTORIES / THREADS * SERVED_STEPS,
                    "{served} steps served"
                );
            });
        }
    });
}
