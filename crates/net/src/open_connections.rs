//! Counting and graceful shutdown of a listener's connections.

use crate::{prelude::*, tracked_connection::TrackedConnection};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// Time reserved at the end of a stop for sending the last answers: a few scheduling rounds of a
/// loaded machine, and well within the time that platforms leave between SIGTERM and SIGKILL.
pub const LAST_ANSWER_TIME: Duration = Duration::from_millis(300);

/// Counts the connections of one listener and tells them when to close.
#[derive(Debug, Default)]
pub struct OpenConnections {
    open: AtomicUsize,
    /// Connections of which it is known what they do, by an identifier that grows.
    tracked: StateMutex<IndexMap<u64, Arc<TrackedConnection>>>,
    next_id: AtomicU64,
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

/// Keeps one connection among the tracked ones until it is dropped.
#[derive(Debug)]
pub(crate) struct TrackedGuard {
    guard: ConnectionGuard,
    id: u64,
    pub(crate) connection: Arc<TrackedConnection>,
}

impl OpenConnections {
    /// Tracks a new connection. When `max` are open, `replaces_resting` says whether one that rests
    /// is closed for it. Returns `None` for a refused connection, and what happened to which one.
    pub(crate) fn track(
        self: &Arc<Self>,
        max: usize,
        replaces_resting: bool,
        now: MonoTime,
    ) -> (Option<TrackedGuard>, Option<ConnectionEvent>) {
        let mut tracked = self.tracked.lock();
        let step = match tracked.len() < max {
            true => ListenerStep::Admit,
            false if !replaces_resting => ListenerStep::Refuse,
            false => {
                let activities = tracked.iter().map(|(id, other)| (*id, other.activity()));
                ListenerStep::decide(max, activities)
            }
        };
        let event = match step {
            ListenerStep::Admit => None,
            ListenerStep::Replace(id) => {
                let other = &tracked[&id];
                other.close();
                let activity = other.activity();
                Some(ConnectionEvent::Replaced {
                    phase: activity.phase(),
                    rested: now.since(activity.since()),
                })
            }
            ListenerStep::Refuse => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                return (None, Some(ConnectionEvent::Refused));
            }
        };
        self.open.fetch_add(1, Ordering::SeqCst);
        let guard = TrackedGuard {
            guard: ConnectionGuard(self.clone()),
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            connection: Arc::new(TrackedConnection::new(now)),
        };
        tracked.insert(guard.id, guard.connection.clone());
        (Some(guard), event)
    }

    /// Closes the connections that have stalled for longer than `limits`.
    pub(crate) fn close_stalled(&self, limits: StallLimits, now: MonoTime) {
        for connection in self.tracked.lock().values() {
            connection.close_stalled(limits, now);
        }
    }

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

    /// Number of tracked connections without a request in progress.
    pub fn resting(&self) -> usize {
        let tracked = self.tracked.lock();
        let resting = |connection: &&Arc<TrackedConnection>| connection.activity().is_resting();
        tracked.values().filter(resting).count()
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

impl Drop for TrackedGuard {
    fn drop(&mut self) {
        self.guard.0.tracked.lock().swap_remove(&self.id);
    }
}
