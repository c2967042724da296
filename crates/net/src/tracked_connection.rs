//! One open connection of a listener: what it is doing, and whether it is to be closed.

use crate::prelude::*;
use event_listener::Event;
use std::sync::atomic::{AtomicBool, Ordering};

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseRequest {
    /// At once if it rests, else after its current request.
    Graceful,
    /// At once, because it makes no progress.
    Stalled(StallKind),
}

/// Activity of an open connection, which its task reports and its listener reads.
#[derive(Debug)]
pub(crate) struct TrackedConnection {
    clock: SteadyClock,
    activity: StateMutex<ConnectionActivity>,
    /// Whether all bytes of an answer were passed on that may not have been sent completely.
    is_answer_due: AtomicBool,
    /// Notified when the connection is to be closed.
    close_requested: Event,
}

impl TrackedConnection {
    /// Tracks a connection that was opened at `now`.
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            clock: SteadyClock,
            activity: StateMutex::new(ConnectionActivity::new(now)),
            is_answer_due: AtomicBool::new(false),
            close_requested: Event::new(),
        }
    }

    /// Copy of the current activity.
    pub(crate) fn activity(&self) -> ConnectionActivity {
        *self.activity.lock()
    }

    /// Whether no request has ever begun.
    pub(crate) fn is_silent(&self) -> bool {
        self.activity().phase() == ConnectionPhase::Silent
    }

    /// Records received bytes. Line ends between requests are not part of a request: some callers
    /// send one after a body.
    pub(crate) fn receive(&self, bytes: &[u8]) {
        let mut activity = self.activity.lock();
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        if activity.is_resting() && !bytes.iter().all(is_line_end) {
            activity.receive(self.clock.now());
        }
    }

    /// Records that a request is passed on.
    pub(crate) fn begin_request(&self) {
        self.is_answer_due.store(false, Ordering::Relaxed);
        self.activity.lock().run(self.clock.now());
    }

    /// Records that the last bytes of an answer are about to be sent. Until then, a flush says only
    /// that earlier blocks were sent.
    pub(crate) fn end_answer(&self) {
        self.is_answer_due.store(true, Ordering::Relaxed);
    }

    /// Records that all bytes to be sent were accepted by the system.
    pub(crate) fn flush(&self) {
        if self.is_answer_due.load(Ordering::Relaxed) {
            self.is_answer_due.store(false, Ordering::Relaxed);
            self.activity.lock().rest(self.clock.now());
        }
    }

    /// Records that nothing more is sent; returns the time of the last answer.
    pub(crate) fn begin_lingering(&self) -> MonoTime {
        self.activity.lock().linger(self.clock.now())
    }

    /// Records that bytes wait until the peer has read earlier ones.
    pub(crate) fn block_write(&self) {
        self.activity.lock().block_write(self.clock.now());
    }

    /// Records that waiting bytes were sent.
    pub(crate) fn unblock_write(&self) {
        self.activity.lock().unblock_write();
    }

    /// Closes the connection, after its current request if it has one.
    pub(crate) fn close(&self) {
        self.activity.lock().begin_closing();
        self.close_requested.notify(usize::MAX);
    }

    /// Closes the connection if it has stalled for longer than `limits`.
    pub(crate) fn close_stalled(&self, limits: StallLimits, now: MonoTime) {
        if self.activity.lock().find_stall(limits, now) {
            self.close_requested.notify(usize::MAX);
        }
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn wait_close(&self) -> CloseRequest {
        loop {
            let requested = self.close_requested.listen();
            let activity = self.activity();
            match activity.stall() {
                Some(kind) => return CloseRequest::Stalled(kind),
                None if activity.is_closing() => return CloseRequest::Graceful,
                None => requested.await,
            }
        }
    }

    /// Waits until the connection is to be closed because it makes no progress.
    pub(crate) async fn wait_stalled(&self) -> StallKind {
        loop {
            let requested = self.close_requested.listen();
            match self.activity().stall() {
                Some(kind) => return kind,
                None => requested.await,
            }
        }
    }
}
