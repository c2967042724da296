//! A server that takes a request.

use crate::prelude::*;

/// A server that was found, counted as in use until dropped.
pub(crate) struct FoundServer {
    pub(crate) server: Arc<ServerRuntime>,
    pub(crate) started: MonoTime,
    /// Whether it had no free slot when it was found.
    pub(crate) was_full: bool,
    /// Revision of the key record that named it.
    pub(crate) key_revision: Option<u64>,
    pub(crate) state: Arc<ServiceState>,
    pub(crate) clock: SteadyClock,
}

impl Drop for FoundServer {
    fn drop(&mut self) {
        self.server.load.lock().unwrap().request_ended();
        self.state
            .drain
            .lock()
            .unwrap()
            .record_completion(self.clock.now());
        self.state.freed.notify(usize::MAX);
    }
}
