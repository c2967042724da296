//! Admission of requests to the slots of servers.

use crate::prelude::*;

/// Assigns the slots of the servers of the parts that this instance leads.
#[derive(Default)]
pub(crate) struct SlotBroker {
    table: Mutex<AdmissionTable>,
    waiting: Mutex<IndexMap<u64, async_channel::Sender<WaitOutcome>>>,
    next_ticket: AtomicU64,
}

/// A request for a slot.
#[derive(Clone, Copy)]
pub(crate) struct SlotRequest<'a> {
    pub(crate) server: &'a ServerName,
    pub(crate) limit: SlotLimit,
    pub(crate) priority: u8,
    pub(crate) caller: &'a str,
    pub(crate) deadline: MonoTime,
}

/// How the wait of a queued request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitOutcome {
    /// The slot is assigned to the request.
    Admitted,
    /// The deadline passed in the queue.
    Expired,
}

/// An acquired slot; released when dropped.
pub(crate) struct SlotGuard {
    broker: Arc<SlotBroker>,
    server: ServerName,
    limit: SlotLimit,
    acquired_at: MonoTime,
    end: SlotEnd,
    /// Pool that runs the delayed release; set while the server may be running the request.
    release_pool: Option<Arc<WorkerPool>>,
}

/// A place in a server's queue. Dropping it leaves the queue, or releases the slot if one was
/// assigned meanwhile.
struct TicketGuard<'a> {
    broker: &'a SlotBroker,
    request: SlotRequest<'a>,
    ticket: u64,
    is_active: bool,
}

impl SlotBroker {
    /// Retry delay offered to a caller whose request got no slot before its deadline.
    const EXPIRED_RETRY_AFTER: Duration = Duration::from_millis(100);

    /// Acquires a slot, waiting until the deadline at most.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: SlotRequest<'_>,
    ) -> Result<SlotGuard, RefusalNotice> {
        let now = SteadyClock.now();
        let expired =
            RefusalNotice::try_again(RefusalReason::DeadlineBeforeSend, Self::EXPIRED_RETRY_AFTER);
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let waiting_request = WaitingRequest {
            ticket,
            priority: request.priority,
            caller: request.caller.into(),
            deadline: request.deadline,
        };
        let (sender, receiver) = async_channel::bounded(1);
        let step = {
            let mut table = self.table.lock().unwrap();
            let step = table.admit(request.server, waiting_request, request.limit, now);
            if step == AdmissionStep::Wait {
                self.waiting.lock().unwrap().insert(ticket, sender);
            }
            step
        };
        let mut guard = TicketGuard {
            broker: self,
            request,
            ticket,
            is_active: true,
        };
        match step {
            AdmissionStep::Start => {}
            AdmissionStep::Refuse {
                reason,
                retry_after,
            } => {
                guard.is_active = false;
                return Err(RefusalNotice::try_again(reason, retry_after));
            }
            AdmissionStep::Wait => {
                let timeout = async {
                    Timer::after(request.deadline.since(now)).await;
                    None
                };
                match future::or(async { receiver.recv().await.ok() }, timeout).await {
                    Some(WaitOutcome::Admitted) => {}
                    Some(WaitOutcome::Expired) => {
                        guard.is_active = false;
                        return Err(expired);
                    }
                    None => return Err(expired),
                }
            }
        }
        Ok(guard.into_slot(self))
    }

    /// Requests running at `server`.
    pub(crate) fn running(&self, server: &ServerName) -> u32 {
        self.table.lock().unwrap().running(server)
    }

    /// Requests waiting for `server`.
    pub(crate) fn waiting(&self, server: &ServerName) -> usize {
        self.table.lock().unwrap().waiting(server)
    }

    /// Load of `server` for choosing among servers of a shared service; lower is better.
    pub(crate) fn load_score(&self, server: &ServerName, now: MonoTime) -> u32 {
        self.table.lock().unwrap().load_score(server, now)
    }

    /// Mean time that requests run at `server`.
    pub(crate) fn mean_run_time(&self, server: &ServerName) -> Duration {
        self.table.lock().unwrap().mean_run_time(server)
    }

    /// Releases a slot and admits or expires the queued requests whose turn has come. A ticket that
    /// is being dropped meanwhile releases its slot itself.
    fn finish(&self, server: &ServerName, end: SlotEnd, limit: SlotLimit) {
        let now = SteadyClock.now();
        let mut table = self.table.lock().unwrap();
        table.finish(server, end, limit, now);
        while let Some(step) = table.dequeue(server, limit, now) {
            let (ticket, outcome) = match step {
                DequeueStep::Start(ticket) => (ticket, WaitOutcome::Admitted),
                DequeueStep::Expire(ticket) => (ticket, WaitOutcome::Expired),
            };
            let sender = self.waiting.lock().unwrap().swap_remove(&ticket);
            if let Some(sender) = sender {
                let _ = sender.try_send(outcome);
            }
        }
    }
}

impl TicketGuard<'_> {
    /// Turns the assigned ticket into a slot.
    fn into_slot(mut self, broker: &Arc<SlotBroker>) -> SlotGuard {
        self.is_active = false;
        SlotGuard {
            broker: broker.clone(),
            server: self.request.server.clone(),
            limit: self.request.limit,
            acquired_at: SteadyClock.now(),
            end: SlotEnd::Failed,
            release_pool: None,
        }
    }
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if !self.is_active {
            return;
        }
        let was_waiting = {
            let mut table = self.broker.table.lock().unwrap();
            self.broker
                .waiting
                .lock()
                .unwrap()
                .swap_remove(&self.ticket);
            table.cancel(self.request.server, self.ticket)
        };
        if !was_waiting {
            let SlotRequest { server, limit, .. } = self.request;
            self.broker.finish(server, SlotEnd::Failed, limit);
        }
    }
}

impl SlotGuard {
    /// Time in which a server notices that a request was abandoned; until then the slot stays
    /// occupied.
    const RELEASE_DELAY: Duration = Duration::from_millis(25);

    /// Records that the request is being sent to the server.
    pub(crate) fn mark_sent(&mut self, pool: &Arc<WorkerPool>) {
        self.release_pool = Some(pool.clone());
    }

    /// Records that no byte of the request was sent.
    pub(crate) fn mark_unsent(&mut self) {
        self.release_pool = None;
    }

    /// Records that the server answered.
    pub(crate) fn mark_answered(&mut self) {
        self.release_pool = None;
        self.end = SlotEnd::Answered(SteadyClock.now().since(self.acquired_at));
    }

    /// Records that the server refused the request.
    pub(crate) fn mark_refused(&mut self) {
        self.release_pool = None;
        self.end = SlotEnd::Shed;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let (broker, server) = (self.broker.clone(), self.server.clone());
        let (end, limit) = (self.end, self.limit);
        match self.release_pool.take() {
            None => broker.finish(&server, end, limit),
            Some(pool) => pool.spawn(async move {
                Timer::after(Self::RELEASE_DELAY).await;
                broker.finish(&server, end, limit);
            }),
        }
    }
}

#[cfg(test)]
mod slot_broker_tests;
