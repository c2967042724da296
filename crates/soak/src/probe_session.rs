//! Callers that observe by which configuration an instance routes requests.

use crate::{
    caller_session::{RequestContent, connect, send_attempt},
    prelude::*,
    soak_routes,
};

/// Pause between two probes of one instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which a probe waits for its answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests for the probed route to one instance until all callers are stopped.
pub(crate) async fn run_probe(world: Arc<SoakWorld>, instance: usize) {
    send_probes(&world, instance, |_| RequestKind::Probe).await;
}

/// Sends requests for passing routes, of the newest revisions and of those just removed, to one
/// instance until all callers are stopped.
pub(crate) async fn run_passing_probe(world: Arc<SoakWorld>, instance: usize) {
    let choose_route = |rng: &mut StdRng| {
        let newest = world.newest_revision();
        let oldest = newest.saturating_sub(soak_routes::PASSING_REVISIONS * 2 - 1);
        RequestKind::Passing(rng.random_range(oldest.max(1)..=newest))
    };
    send_probes(&world, instance, choose_route).await;
}

/// Sends as many probes to one instance at once, and waits for all answers.
pub(crate) async fn send_at_once(world: &Arc<SoakWorld>, instance: usize, count: usize) {
    let send_one = |number: usize| async move {
        let mut rng = StdRng::seed_from_u64(world.plan.seed ^ number as u64);
        send_probe(world, instance, RequestKind::Probe, &mut rng).await;
    };
    futures_util::future::join_all((0..count).map(send_one)).await;
}

async fn send_probes(
    world: &SoakWorld,
    instance: usize,
    choose_kind: impl Fn(&mut StdRng) -> RequestKind,
) {
    let mut rng = StdRng::seed_from_u64(world.plan.seed ^ instance as u64);
    while world.is_sending.load(Ordering::SeqCst) {
        Timer::after(PROBE_INTERVAL).await;
        let kind = choose_kind(&mut rng);
        send_probe(world, instance, kind, &mut rng).await;
    }
}

async fn send_probe(world: &SoakWorld, instance: usize, kind: RequestKind, rng: &mut StdRng) {
    if let Some(mut connection) = connect(world, instance, 1).await {
        let content = RequestContent::new(kind);
        send_attempt(world, &content, &mut connection, PROBE_TIMEOUT, rng).await;
    }
}
