//! Calls of one peer connection that can be cancelled.

use crate::prelude::*;

/// Running calls by number; all are cancelled when the table is dropped with its connection.
#[derive(Default)]
pub(crate) struct RunningCalls {
    calls: Arc<Mutex<IndexMap<u64, async_channel::Sender<()>>>>,
}

/// A running call.
pub(crate) struct RunningCall {
    calls: Arc<Mutex<IndexMap<u64, async_channel::Sender<()>>>>,
    number: u64,
    ended: async_channel::Receiver<()>,
}

impl RunningCalls {
    /// Begins the call `number`.
    pub(crate) fn begin(&self, number: u64) -> RunningCall {
        let (end, ended) = async_channel::bounded(1);
        self.calls.lock().unwrap().insert(number, end);
        RunningCall {
            calls: self.calls.clone(),
            number,
            ended,
        }
    }

    /// Cancels the call `number` if it still runs.
    pub(crate) fn cancel(&self, number: u64) {
        self.calls.lock().unwrap().swap_remove(&number);
    }
}

impl Drop for RunningCalls {
    fn drop(&mut self) {
        self.calls.lock().unwrap().clear();
    }
}

impl RunningCall {
    /// Ends with nothing once the call is cancelled.
    pub(crate) async fn cancelled<T>(&self) -> Option<T> {
        let _ = self.ended.recv().await;
        None
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.calls.lock().unwrap().swap_remove(&self.number);
    }
}
