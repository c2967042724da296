//! A request that crashes each server that begins to execute it, and its caller.

use crate::{
    caller_session::{self, RequestContent},
    prelude::*,
};

/// Pause between two times that the request is sent, in milliseconds.
const SEND_INTERVAL_MS: std::ops::Range<u64> = 80..320;
/// Time for which its caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time until a crashed server is started again, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 800..2_200;
/// Interval at which servers are checked for requests that crash them.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Start of the last part of the path of such a request.
const PATH_MARK: &str = "poison-";

/// Returns the number of the poison request with this path; `None` for other requests.
pub(crate) fn number_of(path: &str) -> Option<usize> {
    path.rsplit('/')
        .next()?
        .strip_prefix(PATH_MARK)?
        .parse()
        .ok()
}

/// Sends the poison request with this number to instances in rotation for `duration`.
pub(crate) async fn send_repeatedly(
    world: &Arc<SoakWorld>,
    number: usize,
    kind: RequestKind,
    duration: Duration,
) {
    let mut rng = StdRng::seed_from_u64(world.plan.seed ^ number as u64);
    let until = SteadyClock.now().after(duration);
    let mut sent = Vec::new();
    while SteadyClock.now() < until {
        let instance = world.balancer.choose_instance();
        let (shared, seed) = (world.clone(), rng.random());
        sent.push(world.pool.spawn_cancellable(async move {
            let Some(mut connection) = caller_session::connect(&shared, instance, 1).await else {
                return;
            };
            let content = RequestContent {
                kind,
                fixed_path: Some(format!("{PATH_MARK}{number}")),
                is_first_attempt: false,
            };
            let mut rng = StdRng::seed_from_u64(seed);
            caller_session::send_attempt(
                &shared,
                &content,
                &mut connection,
                CALLER_TIMEOUT,
                &mut rng,
            )
            .await;
        }));
        Timer::after(Duration::from_millis(rng.random_range(SEND_INTERVAL_MS))).await;
    }
    for attempt in sent {
        attempt.await;
    }
}

/// Crashes the servers that execute a poison request and starts them again, until the pool stops.
pub(crate) async fn crash_servers(world: Arc<SoakWorld>) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let servers = world.servers.lock().unwrap().clone();
        for server in servers {
            let Some(number) = server
                .process()
                .and_then(|process| *process.poisoned_by.lock().unwrap())
            else {
                continue;
            };
            world
                .ledger
                .record_disturbance(DisturbanceTarget::Servers, Duration::ZERO);
            server.crash();
            let crash = (number, SteadyClock.now());
            world.ledger.poison_crashes.lock().unwrap().push(crash);
            let shared = world.clone();
            world.pool.spawn(async move {
                Timer::after(Duration::from_millis(rand::random_range(DOWNTIME_MS))).await;
                // The end of the fault injection may have started it already.
                if server.process().is_some() {
                    return;
                }
                if let Err(error) = server.start_process().await {
                    shared.ledger.add_violation("SOAK", &error.to_string());
                }
            });
        }
    }
}
