//! What one instance keeps of one service.

use crate::prelude::*;

/// Budget, queue and pace of one service.
pub(crate) struct ServiceState {
    /// Second attempts.
    pub(crate) retries: Mutex<RetryWindow>,
    /// Rate at which requests end.
    pub(crate) drain: Mutex<DrainMeter>,
    /// Notified when a slot may have become free.
    pub(crate) freed: Event,
    /// How full its servers usually are.
    pub(crate) fill: Mutex<UsualFill>,
    queue: Mutex<WaitingQueue>,
    pace: Mutex<f64>,
}

impl ServiceState {
    /// Service time assumed before any was measured, in seconds.
    const FIRST_PACE: f64 = 0.1;
    /// Weight of a new sample of the service time.
    const PACE_WEIGHT: f64 = 0.05;

    /// State of a service under `settings`.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        Self {
            retries: Mutex::new(RetryWindow::new(
                settings.retry_window,
                settings.retry_ratio,
                settings.retry_slack,
            )),
            drain: Mutex::default(),
            freed: Event::new(),
            fill: Mutex::default(),
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
    pub(crate) fn pace(&self) -> f64 {
        *self.pace.lock().unwrap()
    }

    /// Requests of other instances that a server usually has, for each of its slots.
    pub(crate) fn usual_fill(&self) -> f64 {
        self.fill.lock().unwrap().mean()
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
