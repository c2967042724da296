//! Waiting for a server's slots.

use crate::prelude::*;

/// Hands out the slots of the servers whose parts this instance leads.
#[derive(Default)]
pub(crate) struct SlotBroker {
    table: Mutex<AdmissionTable>,
    waiting: Mutex<IndexMap<u64, async_channel::Sender<()>>>,
    next_ticket: AtomicU64,
}

/// A slot that is held; given back when dropped.
pub(crate) struct SlotGuard {
    broker: Arc<SlotBroker>,
    server: ServerName,
    limit: SlotLimit,
}

/// A place in a server's queue; given up when dropped, with the slot if it was called meanwhile.
struct TicketGuard<'a> {
    broker: &'a SlotBroker,
    server: &'a ServerName,
    limit: SlotLimit,
    ticket: u64,
    held: bool,
}

impl SlotBroker {
    /// Takes a slot of `server`, waiting up to `patience`.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        server: &ServerName,
        limit: SlotLimit,
        patience: Duration,
    ) -> Result<SlotGuard, RefusalReason> {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (call, called) = async_channel::bounded(1);
        self.waiting.lock().unwrap().insert(ticket, call);
        let step = self.table.lock().unwrap().admit(server, ticket, limit);
        let guard = TicketGuard {
            broker: self,
            server,
            limit,
            ticket,
            held: !matches!(step, AdmissionStep::Refuse(_)),
        };
        match step {
            AdmissionStep::Start => {}
            AdmissionStep::Refuse(reason) => return Err(reason),
            AdmissionStep::Wait => {
                let late = async {
                    Timer::after(patience).await;
                    Err(RefusalReason::DeadlineBeforeSend)
                };
                let called = async {
                    let _ = called.recv().await;
                    Ok(())
                };
                future::or(called, late).await?;
            }
        }
        Ok(guard.into_slot(self))
    }

    /// Requests running at `server`.
    pub(crate) fn running(&self, server: &ServerName) -> u32 {
        self.table.lock().unwrap().running(server)
    }

    /// Gives a slot back and calls the next ticket; one that is being given up gives the slot back
    /// itself.
    fn finish(&self, server: &ServerName, limit: SlotLimit) {
        let next = self.table.lock().unwrap().finish(server, limit);
        let call = next.and_then(|ticket| self.waiting.lock().unwrap().swap_remove(&ticket));
        if let Some(call) = call {
            let _ = call.try_send(());
        }
    }
}

impl TicketGuard<'_> {
    fn into_slot(mut self, broker: &Arc<SlotBroker>) -> SlotGuard {
        self.held = false;
        SlotGuard {
            broker: broker.clone(),
            server: self.server.clone(),
            limit: self.limit,
        }
    }
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        let mut waiting = self.broker.waiting.lock().unwrap();
        waiting.swap_remove(&self.ticket);
        drop(waiting);
        if !self.held {
            return;
        }
        let abandoned = {
            let mut table = self.broker.table.lock().unwrap();
            table.abandon(self.server, self.ticket)
        };
        if !abandoned {
            self.broker.finish(self.server, self.limit);
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.broker.finish(&self.server, self.limit);
    }
}
