//! What a connection is doing, as far as closing it is concerned.
//!
//! A connection rests while it has sent nothing, or nothing since its last answer. It may be closed
//! then without losing a request. A connection stalls when the head of a request or the peer's
//! reading of an answer makes no progress.

use crate::prelude::*;

/// Phase of a connection between its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No byte of a request has been received yet.
    Silent,
    /// The last request has been answered, and no byte of another one has been received.
    Idle,
    /// A request has begun, and its head is not complete.
    Head,
    /// A request has been passed on and is not answered completely.
    Running,
    /// The last answer has been sent, and the connection is closed once the peer closes it.
    Lingering,
}

/// Kind of progress that a connection no longer makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallKind {
    /// The head of a request does not become complete.
    Head,
    /// The peer does not read what is sent to it.
    Write,
}

/// Longest times without progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallLimits {
    /// Time from the first byte of a request's head to its last.
    pub head: Duration,
    /// Time for which no byte of an answer can be sent.
    pub write: Duration,
}

/// Phase of one connection and since when it has lasted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionActivity {
    phase: ConnectionPhase,
    since: MonoTime,
    write_blocked_since: Option<MonoTime>,
    is_closing: bool,
    stall: Option<StallKind>,
}

impl ConnectionActivity {
    /// Activity of a connection that was opened at `now`.
    pub fn new(now: MonoTime) -> Self {
        Self {
            phase: ConnectionPhase::Silent,
            since: now,
            write_blocked_since: None,
            is_closing: false,
            stall: None,
        }
    }

    /// Current phase.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase
    }

    /// Start of the current phase.
    pub fn since(&self) -> MonoTime {
        self.since
    }

    /// Whether no request has begun.
    pub fn is_resting(&self) -> bool {
        match self.phase {
            ConnectionPhase::Silent | ConnectionPhase::Idle | ConnectionPhase::Lingering => true,
            ConnectionPhase::Head | ConnectionPhase::Running => false,
        }
    }

    /// Whether the connection may be closed for another one.
    pub fn can_give_way(&self) -> bool {
        self.is_resting() && !self.is_closing
    }

    /// Whether the connection counts towards the limit: not if it is about to be closed, unless a
    /// request arrived first.
    pub fn is_counted(&self) -> bool {
        !self.is_closing || !self.is_resting()
    }

    /// Whether the connection is to be closed after its current request.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Stall for which the connection is to be closed.
    pub fn stall(&self) -> Option<StallKind> {
        self.stall
    }

    /// Records that bytes were received; they begin a request if none has begun.
    pub fn receive(&mut self, now: MonoTime) {
        if self.is_resting() {
            self.enter(ConnectionPhase::Head, now);
        }
    }

    /// Records that a complete head was passed on.
    pub fn run(&mut self, now: MonoTime) {
        self.enter(ConnectionPhase::Running, now);
        self.stall = self.stall.filter(|kind| *kind != StallKind::Head);
    }

    /// Records that the answer has been sent completely.
    pub fn rest(&mut self, now: MonoTime) {
        self.enter(ConnectionPhase::Idle, now);
    }

    /// Records that nothing more is sent; returns the time of the last answer, or now if it has not been
    /// recorded as sent.
    pub fn linger(&mut self, now: MonoTime) -> MonoTime {
        let answered_at = match self.phase {
            ConnectionPhase::Idle => self.since,
            _ => now,
        };
        self.unblock_write();
        self.enter(ConnectionPhase::Lingering, now);
        answered_at
    }

    /// Records that bytes of an answer wait for the peer to read.
    pub fn block_write(&mut self, now: MonoTime) {
        self.write_blocked_since.get_or_insert(now);
    }

    /// Records that bytes of an answer were sent.
    pub fn unblock_write(&mut self) {
        self.write_blocked_since = None;
        self.stall = self.stall.filter(|kind| *kind != StallKind::Write);
    }

    /// Records that the connection is to be closed after its current request.
    pub fn begin_closing(&mut self) {
        self.is_closing = true;
    }

    /// Records a stall longer than `limits` at `now`, which further progress cancels; returns whether
    /// there is one.
    pub fn find_stall(&mut self, limits: StallLimits, now: MonoTime) -> bool {
        let is_head_late =
            self.phase == ConnectionPhase::Head && now.since(self.since) > limits.head;
        let is_write_late = self
            .write_blocked_since
            .is_some_and(|since| now.since(since) > limits.write);
        self.stall = match (is_write_late, is_head_late) {
            (true, _) => Some(StallKind::Write),
            (false, true) => Some(StallKind::Head),
            (false, false) => None,
        };
        self.stall.is_some()
    }

    fn enter(&mut self, phase: ConnectionPhase, now: MonoTime) {
        self.phase = phase;
        self.since = now;
    }
}
