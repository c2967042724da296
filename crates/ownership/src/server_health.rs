//! What the leader of a part thinks of each of its servers.

use crate::prelude::*;

/// A server's state, as seen by the part's leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Not heard yet.
    Joining,
    /// Answers.
    Serving,
    /// Silent for longer than the suspicion time: gets no grants.
    Suspected,
    /// Leaving, by its own word or by the operators': its slices move first.
    Draining,
}

/// Watches one server.
#[derive(Clone, Copy, Debug)]
pub struct ServerHealth {
    since: MonoTime,
    heard: Option<MonoTime>,
    refused: bool,
    /// Whether the server said that it leaves.
    pub leaving: bool,
    /// Requests that the server said to be running.
    pub running_requests: u32,
}

impl ServerHealth {
    /// Watch that begins at `now`.
    pub fn new(now: MonoTime) -> Self {
        Self {
            since: now,
            heard: None,
            refused: false,
            leaving: false,
            running_requests: 0,
        }
    }

    /// Notes an answer.
    pub fn record_answer(&mut self, running_requests: u32, leaving: bool, now: MonoTime) {
        self.heard = Some(now);
        self.refused = false;
        self.running_requests = running_requests;
        self.leaving = leaving;
    }

    /// Notes that the server's address refused a connection.
    pub fn record_refusal(&mut self) {
        self.refused = true;
    }

    /// State at `now`.
    pub fn state(&self, now: MonoTime, timing: &TimingSettings) -> ServerState {
        let patience = match (self.heard, self.refused) {
            (_, true) => timing.grant_renewal,
            (Some(_), false) => timing.server_suspicion,
            (None, false) => timing.server_suspicion * 2,
        };
        match self.heard {
            _ if now.since(self.heard.unwrap_or(self.since)) > patience => ServerState::Suspected,
            Some(_) if self.leaving => ServerState::Draining,
            Some(_) => ServerState::Serving,
            None => ServerState::Joining,
        }
    }
}
