//! What one instance keeps of one service.

use crate::prelude::*;

/// Budget, queue and pace of one service.
pub(crate) struct ServiceState {
    /// Second attempts.
    pub(crate) retries: Mutex<RetryBudget>,
    /// Rate at which requests end.
    pub(crate) drain: Mutex<CompletionRate>,
    /// Notified when a slot may have become free.
    pub(crate) freed: Event,
    /// How full its servers usually are.
    pub(crate) fill: Mutex<TypicalOccupancy>,
    runs: Mutex<RunTimes>,
    queue: Mutex<WaitingQueue>,
    pace: Mutex<f64>,
}

/// How long requests run that find a free slot, in seconds.
#[derive(Default)]
struct RunTimes {
    all: Option<f64>,
    routes: IndexMap<String, f64>,
}

impl ServiceState {
    /// Least part of the mean that a route's requests are taken to run.
    const LEAST_RATIO: f64 = 0.2;
    /// Largest multiple of the mean that they are taken to run.
    const MOST_RATIO: f64 = 3.0;
    /// Service time assumed before any was measured, in seconds.
    const FIRST_PACE: f64 = 0.1;
    /// Weight of a new sample of the service time.
    const PACE_WEIGHT: f64 = 0.05;

    /// State of a service under `settings`.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        Self {
            retries: Mutex::new(RetryBudget::new(
                settings.retry_window,
                settings.retry_ratio,
                settings.retry_slack,
            )),
            drain: Mutex::default(),
            freed: Event::new(),
            fill: Mutex::default(),
            runs: Mutex::default(),
            queue: Mutex::default(),
            pace: Mutex::new(Self::FIRST_PACE),
        }
    }

    /// Takes in how long a request took.
    pub(crate) fn served(&self, took: Duration) {
        let mut pace = self.pace.lock().unwrap();
        *pace += (took.as_secs_f64() - *pace) * Self::PACE_WEIGHT;
    }

    /// Time that a request takes, in seconds.
    pub(crate) fn mean_response_time(&self) -> f64 {
        *self.pace.lock().unwrap()
    }

    /// Takes in how long a request of a route ran that found a free slot.
    pub(crate) fn ran(&self, route: &str, took: Duration) {
        let took = took.as_secs_f64();
        let mut runs = self.runs.lock().unwrap();
        // Both begin with the first sample, so that a service's only route is its mean.
        let all = runs.all.get_or_insert(took);
        *all += (took - *all) * Self::PACE_WEIGHT;
        let known = runs.routes.entry(route.into()).or_insert(took);
        *known += (took - *known) * Self::PACE_WEIGHT;
    }

    /// What a request of a route may expect of the service's servers.
    pub(crate) fn outlook(&self, route: &str) -> LoadAssumptions {
        let runs = self.runs.lock().unwrap();
        let ratio = runs
            .routes
            .get(route)
            .zip(runs.all)
            .map(|(run, all)| run / all);
        LoadAssumptions {
            typical_occupancy: self.fill.lock().unwrap().mean(),
            service_time_ratio: ratio
                .unwrap_or(1.0)
                .clamp(Self::LEAST_RATIO, Self::MOST_RATIO),
        }
    }

    /// Works on the queue of requests that wait.
    pub(crate) fn queue<T>(&self, work: impl FnOnce(&mut WaitingQueue) -> T) -> T {
        work(&mut self.queue.lock().unwrap())
    }

    /// Leaves the queue, and tells those behind.
    pub(crate) fn leave(&self, ticket: QueueTicket) {
        self.queue(|queue| queue.leave(ticket));
        self.freed.notify(usize::MAX);
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.queue(|queue| queue.len())
    }
}
