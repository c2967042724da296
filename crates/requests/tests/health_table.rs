//! Ejection and readmission of servers.

use {
    geraniummast_model::{MonoTime, ServerName},
    geraniummast_requests::{HealthState, HealthTable},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

const START: MonoTime = MonoTime(1_000_000);

fn servers() -> Vec<ServerName> {
    (0..6)
        .map(|index| ServerName::new(&format!("catalogue-{index}")))
        .collect()
}

fn eligible(table: &HealthTable, servers: &[ServerName], busy: u32, now: MonoTime) -> usize {
    table
        .eligible(servers, |server| server, |_| busy, now)
        .len()
}

#[test]
fn failures_in_a_row_eject_and_one_trial_at_a_time_readmits() {
    let servers = servers();
    let mut table = HealthTable::default();
    for _ in 1..HealthTable::FAILURES {
        table.record_failure(&servers[0], START);
    }
    assert_eq!(table.state(&servers[0], START), HealthState::Healthy);
    table.record_failure(&servers[0], START);
    assert_eq!(eligible(&table, &servers, 0, START), servers.len() - 1);
    let later = START.after(HealthTable::EJECTION);
    assert_eq!(eligible(&table, &servers, 0, later), servers.len());
    assert_eq!(eligible(&table, &servers, 1, later), servers.len() - 1);
    table.record_failure(&servers[0], later);
    let again = later.after(HealthTable::EJECTION);
    assert_eq!(table.state(&servers[0], again), HealthState::Ejected);
    table.record_response(&servers[0]);
    assert_eq!(table.state(&servers[0], again), HealthState::Healthy);
}

#[test]
fn no_history_of_failures_leaves_less_than_half_of_the_servers() {
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let servers = servers();
        let mut table = HealthTable::default();
        let mut now = START;
        for step in 0..300 {
            now = now.after(Duration::from_millis(random.random_range(0..40)));
            let server = &servers[random.random_range(0..servers.len())];
            match random.random_bool(0.9) {
                true => table.record_failure(server, now),
                false => table.record_response(server),
            }
            let count = eligible(&table, &servers, 0, now);
            assert!(
                count * 2 >= servers.len(),
                "seed {seed}, step {step}: {count}"
            );
        }
    }
}
