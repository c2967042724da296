//! Running calls of one peer connection, which the peer can cancel.

use crate::prelude::*;

/// Running calls by number. Dropping the table, with its connection, cancels all of them.
#[derive(Default)]
pub(crate) struct RunningCalls {
    calls: Arc<Mutex<IndexMap<u64, async_channel::Sender<()>>>>,
}

/// Registration of one running call; removed when dropped.
pub(crate) struct RunningCall {
    calls: Arc<Mutex<IndexMap<u64, async_channel::Sender<()>>>>,
    number: u64,
    cancelled: async_channel::Receiver<()>,
}

impl RunningCalls {
    /// Registers the call `number`.
    pub(crate) fn begin(&self, number: u64) -> RunningCall {
        let (sender, cancelled) = async_channel::bounded(1);
        self.calls.lock().unwrap().insert(number, sender);
        RunningCall {
            calls: self.calls.clone(),
            number,
            cancelled,
        }
    }

    /// Cancels the call `number` if it is still running.
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
    /// Waits until the call is cancelled, then returns `None`.
    pub(crate) async fn cancelled<T>(&self) -> Option<T> {
        let _ = self.cancelled.recv().await;
        None
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.calls.lock().unwrap().swap_remove(&self.number);
    }
}
