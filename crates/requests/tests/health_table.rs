//! Ejection and readmission of servers by passive health checks.

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

fn eligible_count(
    table: &HealthTable,
    servers: &[ServerName],
    running: u32,
    now: MonoTime,
) -> usize {
    table
        .eligible(servers, |server| server, |_| running, now)
        .len()
}

#[test]
fn consecutive_failures_eject_and_answered_probe_readmits() {
    let servers = servers();
    let mut table = HealthTable::default();
    for _ in 1..HealthTable::MAX_FAILURES {
        table.record_failure(&servers[0], START);
    }
    assert_eq!(table.state(&servers[0], START), HealthState::Healthy);
    table.record_failure(&servers[0], START);
    assert_eq!(
        eligible_count(&table, &servers, 0, START),
        servers.len() - 1
    );
    let later = START.after(HealthTable::BASE_EJECTION_TIME);
    assert_eq!(eligible_count(&table, &servers, 0, later), servers.len());
    assert_eq!(
        eligible_count(&table, &servers, 1, later),
        servers.len() - 1
    );
    table.record_failure(&servers[0], later);
    let again = later.after(HealthTable::BASE_EJECTION_TIME);
    assert_eq!(table.state(&servers[0], again), HealthState::Ejected);
    table.record_response(&servers[0]);
    assert_eq!(table.state(&servers[0], again), HealthState::Healthy);
}

#[test]
fn random_failures_leave_half_of_servers_eligible() {
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
            let count = eligible_count(&table, &servers, 0, now);
            assert!(
                count * 2 >= servers.len(),
                "seed {seed}, step {step}: {count} eligible"
            );
        }
    }
}
