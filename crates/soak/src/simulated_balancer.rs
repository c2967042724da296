//! Which instances new connections go to.

use crate::prelude::*;

/// Instances in rotation, as a balancer that asks each second sees them.
#[derive(Default)]
pub(crate) struct SimulatedBalancer {
    misses: Mutex<Vec<u32>>,
}

impl SimulatedBalancer {
    /// Time between two questions (page on requests: once per second; the soak asks more often).
    const INTERVAL: Duration = Duration::from_millis(500);
    /// Misses that take an instance out.
    const MAX_MISSES: u32 = 2;

    /// Asks all instances until the pool stops.
    pub(crate) async fn run(world: Arc<SoakWorld>) {
        *world.balancer.misses.lock().unwrap() = vec![0; world.instances.len()];
        for instance in world.instances.clone() {
            let asked = world.clone();
            world.pool.spawn(async move {
                loop {
                    let is_ready = ask(&asked.pool, instance.readiness_address()).await;
                    asked.balancer.note(instance.number, is_ready);
                    Timer::after(Self::INTERVAL).await;
                }
            });
        }
    }

    fn note(&self, instance: usize, is_ready: bool) {
        let count = &mut self.misses.lock().unwrap()[instance];
        *count = if is_ready { 0 } else { *count + 1 };
    }

    /// An instance for a new connection: one in rotation, or any if fewer than half are.
    pub(crate) fn choose(&self) -> usize {
        let misses = self.misses.lock().unwrap();
        let ready: Vec<usize> = (0..misses.len())
            .filter(|number| misses[*number] < Self::MAX_MISSES)
            .collect();
        match ready.len() * 2 >= misses.len() && !ready.is_empty() {
            true => ready[rand::random_range(0..ready.len())],
            false => rand::random_range(0..misses.len().max(1)),
        }
    }

    /// Whether all instances answered that they are ready.
    pub(crate) fn is_whole(&self) -> bool {
        self.misses.lock().unwrap().iter().all(|count| *count == 0)
    }
}

async fn ask(pool: &Arc<WorkerPool>, address: SocketAddr) -> bool {
    let client = HttpClient::new(pool.clone(), TcpDialer::direct(), address);
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static(READINESS_PATH);
    let host = http::HeaderValue::from_static("balancer");
    request.headers_mut().insert("host", host);
    let answer = client.exchange(request, Duration::from_millis(800)).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
