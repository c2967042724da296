//! Request that a simulated server is executing.

use crate::prelude::*;

/// Request in progress. Dropping it records the end of the request, also after its connection was
/// closed.
pub(crate) struct RunningRequest<'a> {
    pub(crate) process: &'a BackendProcess,
    pub(crate) execution: usize,
    pub(crate) key: Option<u16>,
    pub(crate) is_answered: bool,
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        let outcome = match self.is_answered {
            true => ExecutionOutcome::Answered,
            false => ExecutionOutcome::Interrupted,
        };
        self.process.ledger.record_end(self.execution, outcome);
        if let Some(key) = self.key {
            self.process.keys.lock().unwrap().adjust_running(key, -1);
        }
        self.process.running.fetch_sub(1, Ordering::SeqCst);
        self.process.slot_freed.notify(usize::MAX);
    }
}
