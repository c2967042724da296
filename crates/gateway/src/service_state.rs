//! State that an instance keeps for each service.

use crate::prelude::*;

/// Retry budget, queue and measured durations of one service.
pub(crate) struct ServiceState {
    /// Budget for retries.
    pub(crate) budget: StateMutex<RetryBudget>,
    /// Servers that crashed in the last seconds.
    pub(crate) crashes: StateMutex<CrashWindow>,
    /// When a server last reset a new connection.
    reset_at: StateMutex<Option<MonoTime>>,
    /// Rate at which requests complete.
    pub(crate) completions: StateMutex<CompletionRate>,
    /// Notified when a server may have room again, or the queue has become shorter.
    pub(crate) slot_freed: Event,
    /// Typical occupancy of the service's servers.
    pub(crate) occupancy: StateMutex<TypicalOccupancy>,
    run_times: StateMutex<RunTimes>,
    queue: StateMutex<WaitingQueue>,
    mean_response_time: StateMutex<f64>,
}

/// Mean run time of requests that found a free slot, in seconds.
#[derive(Default)]
struct RunTimes {
    all: Option<f64>,
    routes: IndexMap<String, f64>,
}

impl ServiceState {
    /// Lower bound of a route's run time relative to the mean of the service.
    const MIN_RATIO: f64 = 0.2;
    /// Upper bound of a route's run time relative to the mean of the service.
    const MAX_RATIO: f64 = 3.0;
    /// Response time assumed before the first measurement, in seconds.
    const INITIAL_RESPONSE_TIME: f64 = 0.1;
    /// Weight of a new sample in the moving averages.
    const SAMPLE_WEIGHT: f64 = 0.05;

    /// Creates the state of a service that has had no requests yet.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        Self {
            budget: StateMutex::new(RetryBudget::new(
                settings.retry_window,
                settings.retry_ratio,
                settings.retry_slack,
            )),
            crashes: StateMutex::default(),
            reset_at: StateMutex::default(),
            completions: StateMutex::default(),
            slot_freed: Event::new(),
            occupancy: StateMutex::default(),
            run_times: StateMutex::default(),
            queue: StateMutex::default(),
            mean_response_time: StateMutex::new(Self::INITIAL_RESPONSE_TIME),
        }
    }

    /// Records that a server reset a new connection.
    pub(crate) fn record_reset(&self, now: MonoTime) {
        *self.reset_at.lock() = Some(now);
    }

    /// Whether servers have recently reset new connections, as those do that have too many.
    pub(crate) fn has_resets(&self, now: MonoTime) -> bool {
        /// Time for which the load that makes servers reset connections is expected to last.
        const RESET_TIME: Duration = Duration::from_secs(3);
        let reset_at = *self.reset_at.lock();
        reset_at.is_some_and(|at| now.since(at) < RESET_TIME)
    }

    /// Records how long a server took to answer a request, including any queueing there.
    pub(crate) fn record_response_time(&self, took: Duration) {
        let mut mean = self.mean_response_time.lock();
        *mean += (took.as_secs_f64() - *mean) * Self::SAMPLE_WEIGHT;
    }

    /// Mean time that a server takes to answer a request, in seconds.
    pub(crate) fn mean_response_time(&self) -> f64 {
        *self.mean_response_time.lock()
    }

    /// Records the run time of a request that found a free slot.
    pub(crate) fn record_run_time(&self, route: &str, took: Duration) {
        let took = took.as_secs_f64();
        let mut run_times = self.run_times.lock();
        // Both averages start with the first sample, so that the only route of a service has
        // exactly the mean of the service.
        let all = run_times.all.get_or_insert(took);
        *all += (took - *all) * Self::SAMPLE_WEIGHT;
        let known = run_times.routes.entry(route.into()).or_insert(took);
        *known += (took - *known) * Self::SAMPLE_WEIGHT;
    }

    /// Assumptions about the service's servers for a request of a route.
    pub(crate) fn load_assumptions(&self, route: &str) -> LoadAssumptions {
        let run_times = self.run_times.lock();
        let ratio = run_times
            .routes
            .get(route)
            .zip(run_times.all)
            .map(|(run, all)| run / all);
        LoadAssumptions {
            typical_occupancy: self.occupancy.lock().mean(),
            service_time_ratio: ratio.unwrap_or(1.0).clamp(Self::MIN_RATIO, Self::MAX_RATIO),
        }
    }

    /// Runs `work` on the locked queue of waiting requests.
    pub(crate) fn with_queue<T>(&self, work: impl FnOnce(&mut WaitingQueue) -> T) -> T {
        work(&mut self.queue.lock())
    }

    /// Removes a request from the queue and notifies the others.
    pub(crate) fn leave_queue(&self, ticket: QueueTicket) {
        self.with_queue(|queue| queue.leave(ticket));
        self.slot_freed.notify(usize::MAX);
    }

    /// Number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.with_queue(|queue| queue.len())
    }
}
