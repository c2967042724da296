//! Whether this instance reaches the servers of each data centre.
//!
//! A failed connection is the fault of a server or of this instance's own links. Which of the two
//! is found out by checks of several servers of the data centre: the instance has lost it if none
//! of them answers on a new connection. Answers on open connections do not count, since these may
//! live on while new ones fail.

use crate::prelude::*;

/// Reach of one instance, by data centre.
#[derive(Clone, Debug, Default)]
pub struct ServerReach {
    centres: IndexMap<String, CentreReach>,
}

/// Why an attempt failed, as far as it says something about reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachFailure {
    /// A connection could not be opened in time, or an attempt is unanswered for long.
    Silent,
    /// A new connection was refused or closed at once.
    Closed,
}

/// What to do about a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachStep {
    /// Nothing now.
    None,
    /// Check several servers of the data centre.
    Check,
}

/// What the result of a check has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// Nothing.
    None,
    /// The instance does not reach the data centre's servers any more.
    Lost,
    /// It reaches them again, after this time.
    Regained(Duration),
}

#[derive(Clone, Debug, Default)]
struct CentreReach {
    closed: u32,
    checked_at: Option<MonoTime>,
    is_checking: bool,
    lost_at: Option<MonoTime>,
    /// Successful checks in a row since the loss.
    successes: u32,
    /// Recent losses, oldest first.
    losses: VecDeque<MonoTime>,
}

impl ServerReach {
    /// Time between two checks of a data centre that is not lost.
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);
    /// Closed connections in a row that lead to a check.
    const MAX_CLOSED: u32 = 2;
    /// Successful checks in a row after which a lost data centre counts as reached.
    const MIN_SUCCESSES: u32 = 2;
    /// Shortest time for which a data centre counts as lost; doubled by each recent loss.
    const MIN_LOSS_TIME: Duration = Duration::from_secs(1);
    /// Longest such time.
    const MAX_LOSS_TIME: Duration = Duration::from_secs(8);
    /// Time within which a loss counts as recent.
    const RECENT_TIME: Duration = Duration::from_secs(30);

    /// Applies a failed attempt at a server of `centre`.
    pub fn record_failure(
        &mut self,
        centre: &str,
        failure: ReachFailure,
        now: MonoTime,
    ) -> ReachStep {
        let reach = self.centres.entry(centre.into()).or_default();
        reach.closed += u32::from(failure == ReachFailure::Closed);
        let is_grave = failure == ReachFailure::Silent || reach.closed >= Self::MAX_CLOSED;
        let is_recent = reach
            .checked_at
            .is_some_and(|at| now.since(at) < Self::CHECK_INTERVAL);
        if !is_grave || is_recent || reach.is_checking || reach.lost_at.is_some() {
            return ReachStep::None;
        }
        reach.is_checking = true;
        ReachStep::Check
    }

    /// Applies an answer on a new connection to a server of `centre`.
    pub fn record_connected(&mut self, centre: &str) {
        if let Some(reach) = self.centres.get_mut(centre) {
            reach.closed = 0;
        }
    }

    /// Applies the result of a check: whether any of the servers answered.
    pub fn record_check(&mut self, centre: &str, is_reached: bool, now: MonoTime) -> ReachChange {
        let reach = self.centres.entry(centre.into()).or_default();
        reach.is_checking = false;
        reach.checked_at = Some(now);
        let Some(lost_at) = reach.lost_at else {
            reach.closed = 0;
            if is_reached {
                return ReachChange::None;
            }
            reach.lost_at = Some(now);
            reach.successes = 0;
            reach.losses.push_back(now);
            return ReachChange::Lost;
        };
        reach.successes = match is_reached {
            true => reach.successes + 1,
            false => 0,
        };
        while reach
            .losses
            .front()
            .is_some_and(|at| now.since(*at) > Self::RECENT_TIME)
        {
            reach.losses.pop_front();
        }
        let doublings = reach.losses.len().saturating_sub(1).min(8) as u32;
        let min_time = (Self::MIN_LOSS_TIME * 2_u32.pow(doublings)).min(Self::MAX_LOSS_TIME);
        let took = now.since(lost_at);
        if reach.successes < Self::MIN_SUCCESSES || took < min_time {
            return ReachChange::None;
        }
        reach.lost_at = None;
        ReachChange::Regained(took)
    }

    /// Whether the servers of `centre` are lost.
    pub fn is_lost(&self, centre: &str) -> bool {
        self.centres
            .get(centre)
            .is_some_and(|reach| reach.lost_at.is_some())
    }

    /// Whether the servers of any data centre are lost.
    pub fn is_any_lost(&self) -> bool {
        self.centres.values().any(|reach| reach.lost_at.is_some())
    }

    /// Whether a check of `centre` is running that may find it lost.
    pub fn is_checking(&self, centre: &str) -> bool {
        self.centres
            .get(centre)
            .is_some_and(|reach| reach.is_checking)
    }
}
