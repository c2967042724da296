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
    queue: Mutex<WaitingQueue>,
    pace: Mutex<f64>,
}

/// Requests that wait, by rank and arrival.
#[derive(Debug, Default)]
struct WaitingQueue {
    next: u64,
    waiting: Vec<QueueTicket>,
}

/// Place of one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueTicket {
    priority: u32,
    number: u64,
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

    /// Joins the queue.
    pub(crate) fn join(&self, priority: u32) -> QueueTicket {
        let mut queue = self.queue.lock().unwrap();
        queue.next += 1;
        let ticket = QueueTicket {
            priority,
            number: queue.next,
        };
        queue.waiting.push(ticket);
        ticket
    }

    /// Leaves the queue.
    pub(crate) fn leave(&self, ticket: QueueTicket) {
        let mut queue = self.queue.lock().unwrap();
        queue.waiting.retain(|waiting| *waiting != ticket);
        drop(queue);
        self.freed.notify(usize::MAX);
    }

    /// Whether nobody of the same or a higher rank waits before this request.
    pub(crate) fn is_next(&self, ticket: Option<QueueTicket>, priority: u32) -> bool {
        let queue = self.queue.lock().unwrap();
        match ticket {
            Some(ticket) => queue.waiting.iter().all(|waiting| *waiting >= ticket),
            None => queue
                .waiting
                .iter()
                .all(|waiting| waiting.priority > priority),
        }
    }

    /// Requests that wait before one of this rank.
    pub(crate) fn ahead(&self, priority: u32) -> usize {
        let queue = self.queue.lock().unwrap();
        queue
            .waiting
            .iter()
            .filter(|waiting| waiting.priority <= priority)
            .count()
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.queue.lock().unwrap().waiting.len()
    }
}
