//! Stop state of an instance, and which requests it still accepts while stopping.

use crate::prelude::*;

impl GatewayNode {
    /// Records the start of a graceful stop.
    pub(crate) fn begin_stop(&self) {
        *self.stopping_since.lock() = Some(self.now());
    }

    /// Whether a graceful stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.lock().is_some()
    }

    /// Time since the stop began; `None` if the instance is not stopping.
    pub(crate) fn stop_elapsed(&self) -> Option<Duration> {
        let since = *self.stopping_since.lock();
        since.map(|since| self.now().since(since))
    }

    /// Whether a request is accepted whose caller waits for `caller_timeout`. Always true unless
    /// the instance is stopping.
    pub(crate) fn accepts_request(&self, caller_timeout: Duration) -> bool {
        self.stop_elapsed()
            .is_none_or(|elapsed| self.settings.stop_plan().accepts(elapsed, caller_timeout))
    }
}
