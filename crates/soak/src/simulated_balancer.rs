//! Simulated load balancer that selects an instance for each new connection.

use crate::prelude::*;

/// Load balancer that checks the readiness of the instances and keeps the ready ones in rotation.
#[derive(Default)]
pub(crate) struct SimulatedBalancer {
    failed_checks: Mutex<Vec<u32>>,
}

impl SimulatedBalancer {
    /// Time between two readiness checks of an instance, shorter than the documented 1 s.
    const CHECK_INTERVAL: Duration = Duration::from_millis(500);
    /// Consecutive failed checks after which an instance is taken out of rotation.
    const MAX_FAILED_CHECKS: u32 = 2;

    /// Starts checking the readiness of all instances, until the pool stops.
    pub(crate) async fn start_checks(world: Arc<SoakWorld>) {
        *world.balancer.failed_checks.lock().unwrap() = vec![0; world.instances.len()];
        for instance in world.instances.clone() {
            let shared = world.clone();
            world.pool.spawn(async move {
                loop {
                    let is_ready =
                        check_readiness(&shared.pool, instance.readiness_address()).await;
                    shared.balancer.record_check(instance.number, is_ready);
                    Timer::after(Self::CHECK_INTERVAL).await;
                }
            });
        }
    }

    fn record_check(&self, instance: usize, is_ready: bool) {
        let count = &mut self.failed_checks.lock().unwrap()[instance];
        *count = if is_ready { 0 } else { *count + 1 };
    }

    /// Chooses an instance for a new connection: one in rotation, or any instance if fewer than
    /// half of them are in rotation.
    pub(crate) fn choose_instance(&self) -> usize {
        let failed_checks = self.failed_checks.lock().unwrap();
        let ready: Vec<usize> = (0..failed_checks.len())
            .filter(|number| failed_checks[*number] < Self::MAX_FAILED_CHECKS)
            .collect();
        match ready.len() * 2 >= failed_checks.len() && !ready.is_empty() {
            true => ready[rand::random_range(0..ready.len())],
            false => rand::random_range(0..failed_checks.len().max(1)),
        }
    }

    /// Whether the latest check of every instance succeeded.
    pub(crate) fn are_all_ready(&self) -> bool {
        self.failed_checks
            .lock()
            .unwrap()
            .iter()
            .all(|count| *count == 0)
    }
}

async fn check_readiness(pool: &Arc<WorkerPool>, address: SocketAddr) -> bool {
    let client = HttpClient::new(pool.clone(), TcpDialer::direct(), address);
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static(READINESS_PATH);
    let host = http::HeaderValue::from_static("balancer");
    request.headers_mut().insert("host", host);
    let answer = client.exchange(request, Duration::from_millis(800)).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
