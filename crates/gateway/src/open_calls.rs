//! Registry of callers' requests that have been read completely and not been answered yet.

use crate::prelude::*;
use std::sync::atomic::AtomicU64;

/// Unanswered calls by sequence number.
#[derive(Default)]
pub(crate) struct OpenCalls {
    calls: StateMutex<IndexMap<u64, Arc<CallerCall>>>,
    next_number: AtomicU64,
}

/// Removes a call from [`OpenCalls`] on drop: when it is answered or its caller disconnects.
pub(crate) struct OpenCallGuard<'a> {
    open_calls: &'a OpenCalls,
    number: u64,
}

impl OpenCalls {
    /// Registers a call until the guard is dropped.
    pub(crate) fn track(&self, call: &Arc<CallerCall>) -> OpenCallGuard<'_> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.calls.lock().insert(number, call.clone());
        OpenCallGuard {
            open_calls: self,
            number,
        }
    }

    /// All unanswered calls.
    pub(crate) fn all(&self) -> Vec<Arc<CallerCall>> {
        self.calls.lock().values().cloned().collect()
    }

    /// Number of unanswered calls.
    pub(crate) fn count(&self) -> usize {
        self.calls.lock().len()
    }
}

impl Drop for OpenCallGuard<'_> {
    fn drop(&mut self) {
        self.open_calls.calls.lock().swap_remove(&self.number);
    }
}
