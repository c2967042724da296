//! Waiting for a server's slots.

use crate::prelude::*;

/// Hands out the slots of the servers whose parts this instance leads.
#[derive(Default)]
pub(crate) struct SlotBroker {
    table: Mutex<AdmissionTable>,
    waiting: Mutex<IndexMap<u64, async_channel::Sender<SlotCall>>>,
    next_ticket: AtomicU64,
}

/// Who asks for a slot.
#[derive(Clone, Copy)]
pub(crate) struct SlotRequest<'a> {
    pub(crate) server: &'a ServerName,
    pub(crate) limit: SlotLimit,
    pub(crate) priority: u8,
    pub(crate) caller: &'a str,
    pub(crate) deadline: MonoTime,
}

/// What a waiting request is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotCall {
    Start,
    Expire,
}

/// A slot that is held; given back when dropped.
pub(crate) struct SlotGuard {
    broker: Arc<SlotBroker>,
    server: ServerName,
    limit: SlotLimit,
    taken: MonoTime,
    end: SlotEnd,
    /// Set while the server may run the request.
    sent: Option<Arc<WorkerPool>>,
}

/// A place in a server's queue; given up when dropped, with the slot if it was called meanwhile.
struct TicketGuard<'a> {
    broker: &'a SlotBroker,
    ask: SlotRequest<'a>,
    ticket: u64,
    held: bool,
}

impl SlotBroker {
    /// When a caller may come back whose request found no slot before its deadline.
    const EXPIRED_RETRY: Duration = Duration::from_millis(100);

    /// Takes a slot, waiting up to the deadline.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        ask: SlotRequest<'_>,
    ) -> Result<SlotGuard, RefusalNotice> {
        let now = SteadyClock.now();
        let expired =
            RefusalNotice::try_again(RefusalReason::DeadlineBeforeSend, Self::EXPIRED_RETRY);
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let request = WaitingRequest {
            ticket,
            priority: ask.priority,
            caller: ask.caller.into(),
            deadline: ask.deadline,
        };
        let (call, called) = async_channel::bounded(1);
        let step = {
            let mut table = self.table.lock().unwrap();
            let step = table.admit(ask.server, request, ask.limit, now);
            if step == AdmissionStep::Wait {
                self.waiting.lock().unwrap().insert(ticket, call);
            }
            step
        };
        let mut guard = TicketGuard {
            broker: self,
            ask,
            ticket,
            held: true,
        };
        match step {
            AdmissionStep::Start => {}
            AdmissionStep::Refuse {
                reason,
                retry_after,
            } => {
                guard.held = false;
                return Err(RefusalNotice::try_again(reason, retry_after));
            }
            AdmissionStep::Wait => {
                let late = async {
                    Timer::after(ask.deadline.since(now)).await;
                    None
                };
                match future::or(async { called.recv().await.ok() }, late).await {
                    Some(SlotCall::Start) => {}
                    Some(SlotCall::Expire) => {
                        guard.held = false;
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

    /// Order of servers that may all answer a request, the least loaded first.
    pub(crate) fn load_score(&self, server: &ServerName, now: MonoTime) -> u32 {
        self.table.lock().unwrap().load_score(server, now)
    }

    /// Mean time that requests run at `server`.
    pub(crate) fn mean_run_time(&self, server: &ServerName) -> Duration {
        self.table.lock().unwrap().mean_run_time(server)
    }

    /// Gives a slot back and calls the tickets whose turn has come; one that is being given up gives
    /// its slot back itself.
    fn finish(&self, server: &ServerName, end: SlotEnd, limit: SlotLimit) {
        let now = SteadyClock.now();
        let mut table = self.table.lock().unwrap();
        table.finish(server, end, limit, now);
        while let Some(step) = table.dequeue(server, limit, now) {
            let (ticket, call) = match step {
                DequeueStep::Start(ticket) => (ticket, SlotCall::Start),
                DequeueStep::Expire(ticket) => (ticket, SlotCall::Expire),
            };
            let waiting = self.waiting.lock().unwrap().swap_remove(&ticket);
            if let Some(waiting) = waiting {
                let _ = waiting.try_send(call);
            }
        }
    }
}

impl TicketGuard<'_> {
    fn into_slot(mut self, broker: &Arc<SlotBroker>) -> SlotGuard {
        self.held = false;
        SlotGuard {
            broker: broker.clone(),
            server: self.ask.server.clone(),
            limit: self.ask.limit,
            taken: SteadyClock.now(),
            end: SlotEnd::Failed,
            sent: None,
        }
    }
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if !self.held {
            return;
        }
        let abandoned = {
            let mut table = self.broker.table.lock().unwrap();
            self.broker
                .waiting
                .lock()
                .unwrap()
                .swap_remove(&self.ticket);
            table.cancel(self.ask.server, self.ticket)
        };
        if !abandoned {
            let SlotRequest { server, limit, .. } = self.ask;
            self.broker.finish(server, SlotEnd::Failed, limit);
        }
    }
}

impl SlotGuard {
    /// Time for a server to notice that a request was abandoned; its slot stays taken that long.
    const SETTLE_TIME: Duration = Duration::from_millis(25);

    /// Notes that the request leaves for the server.
    pub(crate) fn mark_sent(&mut self, pool: &Arc<WorkerPool>) {
        self.sent = Some(pool.clone());
    }

    /// Notes that no byte of the request left.
    pub(crate) fn mark_unsent(&mut self) {
        self.sent = None;
    }

    /// Notes that the server answered.
    pub(crate) fn mark_answered(&mut self) {
        self.sent = None;
        self.end = SlotEnd::Answered(SteadyClock.now().since(self.taken));
    }

    /// Notes that the server refused the request.
    pub(crate) fn mark_refused(&mut self) {
        self.sent = None;
        self.end = SlotEnd::Shed;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let (broker, server) = (self.broker.clone(), self.server.clone());
        let (end, limit) = (self.end, self.limit);
        match self.sent.take() {
            None => broker.finish(&server, end, limit),
            Some(pool) => pool.spawn(async move {
                Timer::after(Self::SETTLE_TIME).await;
                broker.finish(&server, end, limit);
            }),
        }
    }
}

#[cfg(test)]
mod slot_broker_tests;
