//! Counting and graceful shutdown of a listener's connections.

use crate::prelude::*;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// Time reserved at the end of a stop for sending the last answers: a few scheduling rounds of a
/// loaded machine, and well within the time that platforms leave between SIGTERM and SIGKILL.
pub const LAST_ANSWER_TIME: Duration = Duration::from_millis(300);

/// Counts the connections of one listener and tells them when to close.
#[derive(Debug, Default)]
pub struct OpenConnections {
    open: AtomicUsize,
    refused: AtomicU64,
    keep_alive_disabled: AtomicBool,
    /// Set when idle connections are to close too.
    closing: OneShotEvent,
    /// Set when the listening socket is to close.
    accept_stopped: OneShotEvent,
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(Arc<OpenConnections>);

impl OpenConnections {
    /// Counts a new connection; refuses it with `None` when `max` are open.
    pub fn admit(self: &Arc<Self>, max: usize) -> Option<ConnectionGuard> {
        let guard = ConnectionGuard(self.clone());
        if self.open.fetch_add(1, Ordering::SeqCst) < max {
            return Some(guard);
        }
        self.refused.fetch_add(1, Ordering::Relaxed);
        None
    }

    /// Number of connections that are open now.
    pub fn count(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Number of connections refused because too many were open.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Whether each connection closes after its next exchange.
    pub fn is_keep_alive_disabled(&self) -> bool {
        self.keep_alive_disabled.load(Ordering::SeqCst)
    }

    /// Closes each connection after its next exchange; idle connections stay open until then.
    pub fn disable_keep_alive(&self) {
        self.keep_alive_disabled.store(true, Ordering::SeqCst);
    }

    /// Closes each connection after its current exchange, and idle connections at once.
    pub fn close(&self) {
        self.disable_keep_alive();
        self.closing.set();
    }

    /// Closes the listening socket, so that new callers are refused at once instead of waiting for a
    /// process that is about to end.
    pub fn stop_accepting(&self) {
        self.accept_stopped.set();
    }

    /// Whether new connections are accepted.
    pub fn is_accepting(&self) -> bool {
        !self.accept_stopped.is_set()
    }

    /// Waits until the listening socket is to close.
    pub async fn wait_accept_stopped(&self) {
        self.accept_stopped.wait().await;
    }

    /// Waits until idle connections are to close too.
    pub async fn wait_closing(&self) {
        self.closing.wait().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}
