//! A flag that wakes all tasks waiting for it when it is set.

use event_listener::Event;
use std::sync::atomic::{AtomicBool, Ordering};

/// An event that is set at most once and is never cleared.
#[derive(Debug, Default)]
pub struct OneShotEvent {
    is_set: AtomicBool,
    changed: Event,
}

impl OneShotEvent {
    /// Sets the event and wakes all waiting tasks; later calls have no effect.
    pub fn set(&self) {
        if !self.is_set.swap(true, Ordering::SeqCst) {
            self.changed.notify(usize::MAX);
        }
    }

    /// Whether the event has been set.
    pub fn is_set(&self) -> bool {
        self.is_set.load(Ordering::SeqCst)
    }

    /// Waits until the event is set; returns at once if it already is.
    pub async fn wait(&self) {
        loop {
            let changed = self.changed.listen();
            if self.is_set() {
                return;
            }
            changed.await;
        }
    }
}
