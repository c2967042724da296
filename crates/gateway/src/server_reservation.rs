//! Reservation of a server for one request.

use crate::prelude::*;

/// A server selected for a request. The request counts towards the server's load until the
/// reservation is dropped.
pub(crate) struct ServerReservation {
    pub(crate) server: Arc<ServerRuntime>,
    pub(crate) reserved_at: MonoTime,
    /// Whether the server had no free slot when it was selected.
    pub(crate) was_full: bool,
    /// Whether the server has a rate limit, and the request took a token.
    pub(crate) has_token: bool,
    /// Whether the token was for a cold server.
    pub(crate) is_cold: bool,
    /// Revision of the key record that names the server as the owner; `None` for services without
    /// keys.
    pub(crate) key_revision: Option<StoreRevision>,
    pub(crate) service_state: Arc<ServiceState>,
    pub(crate) clock: SteadyClock,
}

impl ServerReservation {
    /// Whether the request may still be sent to the server, which may have begun to leave since it
    /// was selected. The owner of a key gets requests within `bounds` after that.
    pub(crate) fn is_still_allowed(&self, now: MonoTime, bounds: LeavingBounds) -> bool {
        match self.key_revision {
            Some(_) => self.server.accepts_requests(now, bounds),
            None => self.server.leaving_since().is_none(),
        }
    }
}

impl Drop for ServerReservation {
    fn drop(&mut self) {
        self.server.load.lock().request_ended();
        self.service_state
            .completions
            .lock()
            .record_completion(self.clock.now());
        self.service_state.slot_freed.notify(usize::MAX);
    }
}
