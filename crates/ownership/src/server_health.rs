//! The health of a server, as the leader of a part sees it.

use crate::prelude::*;

/// State of a server in the view of a part's leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server has not answered yet.
    Joining,
    /// The server answers.
    Serving,
    /// The server has not answered within the suspicion time; it gets no grants.
    Suspected,
    /// The server has announced that it is leaving; its slices move to others before any slice
    /// moves for balance.
    Draining,
}

/// Answers and refusals of one server.
#[derive(Clone, Copy, Debug)]
pub struct ServerHealth {
    watched_since: MonoTime,
    last_answer: Option<MonoTime>,
    connection_refused: bool,
    /// Whether the server has announced that it is leaving.
    pub leaving: bool,
    /// Running requests, as last reported by the server.
    pub running_requests: u32,
}

impl ServerHealth {
    /// Health of a server that is watched from `now` on.
    pub fn new(now: MonoTime) -> Self {
        Self {
            watched_since: now,
            last_answer: None,
            connection_refused: false,
            leaving: false,
            running_requests: 0,
        }
    }

    /// Records an answer and what the server reported in it.
    pub fn record_answer(&mut self, running_requests: u32, leaving: bool, now: MonoTime) {
        self.last_answer = Some(now);
        self.connection_refused = false;
        self.running_requests = running_requests;
        self.leaving = leaving;
    }

    /// Records that the server's address refused a connection; its suspicion time is shorter until
    /// it answers again.
    pub fn record_refusal(&mut self) {
        self.connection_refused = true;
    }

    /// State at `now`; a server that has never answered gets twice the suspicion time.
    pub fn state(&self, now: MonoTime, timing: &TimingSettings) -> ServerState {
        let timeout = match (self.last_answer, self.connection_refused) {
            (_, true) => timing.grant_renewal,
            (Some(_), false) => timing.server_suspicion,
            (None, false) => timing.server_suspicion * 2,
        };
        match self.last_answer {
            _ if now.since(self.last_answer.unwrap_or(self.watched_since)) > timeout => {
                ServerState::Suspected
            }
            Some(_) if self.leaving => ServerState::Draining,
            Some(_) => ServerState::Serving,
            None => ServerState::Joining,
        }
    }
}
