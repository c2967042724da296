//! Count and end of a listener's connections.

use crate::prelude::*;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// Time that the last answers of a stop take to leave: a few turns of a loaded machine, and well
/// within the margin that platforms grant between SIGTERM and SIGKILL.
pub const LAST_ANSWER_TIME: Duration = Duration::from_millis(300);

/// Connections of one listener.
#[derive(Debug, Default)]
pub struct OpenConnections {
    open: AtomicUsize,
    refused: AtomicU64,
    retired: AtomicBool,
    /// Given when idle connections are to end too.
    closing: OneShotEvent,
    /// Given when the listener is to be closed.
    accept_end: OneShotEvent,
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

    /// Whether connections end after their next exchange.
    pub fn is_keep_alive_disabled(&self) -> bool {
        self.retired.load(Ordering::SeqCst)
    }

    /// Ends each connection after its next exchange; idle ones stay open for it.
    pub fn disable_keep_alive(&self) {
        self.retired.store(true, Ordering::SeqCst);
    }

    /// Ends each connection after its current exchange, idle ones at once.
    pub fn close(&self) {
        self.disable_keep_alive();
        self.closing.set();
    }

    /// Takes no further connection: the listener's socket is closed, so that callers that come now
    /// are refused at once instead of waiting for a process that ends.
    pub fn stop_accepting(&self) {
        self.accept_end.set();
    }

    /// Whether further connections are taken.
    pub fn is_accepting(&self) -> bool {
        !self.accept_end.is_set()
    }

    /// Ends when the listener is to be closed.
    pub async fn wait_accept_end(&self) {
        self.accept_end.wait().await;
    }

    /// Ends when idle connections are to end too.
    pub async fn wait_closing(&self) {
        self.closing.wait().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}
