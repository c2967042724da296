//! Count and end of a listener's connections.

use crate::prelude::*;
use event_listener::Event;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// Connections of one listener.
#[derive(Debug, Default)]
pub struct OpenConnections {
    open: AtomicUsize,
    refused: AtomicU64,
    closing: AtomicBool,
    ending: AtomicBool,
    changed: Event,
}

/// One counted connection; counted out when dropped.
#[derive(Debug)]
pub struct ConnectionGuard(Arc<OpenConnections>);

impl OpenConnections {
    /// Counts a connection in, none when `max` are open.
    pub fn admit(self: &Arc<Self>, max: usize) -> Option<ConnectionGuard> {
        let guard = ConnectionGuard(self.clone());
        if self.open.fetch_add(1, Ordering::SeqCst) < max {
            return Some(guard);
        }
        self.refused.fetch_add(1, Ordering::Relaxed);
        None
    }

    /// Connections open now.
    pub fn count(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Connections closed because too many were open.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Whether connections end after their current exchange.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Ends each connection after its next exchange; idle ones stay open for it.
    pub fn retire(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Ends each connection after its current exchange, idle ones at once.
    pub fn close(&self) {
        self.retire();
        self.ending.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Ends when idle connections are to end too.
    pub async fn wait_closing(&self) {
        loop {
            let changed = self.changed.listen();
            if self.ending.load(Ordering::SeqCst) {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}
