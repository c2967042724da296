//! When an instance takes over the ordering of a service's servers.

use crate::prelude::*;

/// What an instance knows of a record's leader.
#[derive(Clone, Copy, Debug)]
pub struct LeaderView {
    /// Whether the record names an earlier life of this instance.
    pub is_own_earlier_run: bool,
    /// Time since the leader was heard, or since this instance began to listen.
    pub silence: Duration,
    /// Time since the leader last reached the store, by its own word.
    pub confirmation_age: Duration,
    /// Whether this instance has heard from any other one lately.
    pub hears_peers: bool,
    /// Whether the leader says that it stops, or leaves its work to a stronger instance.
    pub is_leaving: bool,
    /// Position among the instances that could take over, 0 for the first.
    pub rank: usize,
}

/// What to do about the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Leave it.
    Follow,
    /// Write oneself in its place.
    TakeOver,
}

impl LeaderView {
    /// Silence after which a leader is suspected and all instances tell each other that they live.
    pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(480);
    /// Time in which they hear of each other.
    const MUSTER: Duration = Duration::from_millis(270);
    /// Further silence for each rank, so that few instances write at once.
    const RANK_STEP: Duration = Duration::from_millis(150);
    /// Age of the leader's confirmation at which one that reaches the store replaces it.
    const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(2_800);
    /// Extra silence for an instance that hears nobody: the fault may be its own.
    const ALONE: Duration = Duration::from_secs(3);
    /// Ranks beyond this one wait no longer.
    const MAX_RANK: usize = 8;

    /// Decides.
    pub fn next_step(&self) -> TakeoverStep {
        if self.is_own_earlier_run {
            return TakeoverStep::TakeOver;
        }
        let wait = Self::RANK_STEP * self.rank.min(Self::MAX_RANK) as u32;
        let alone = match self.hears_peers {
            true => Duration::ZERO,
            false => Self::ALONE,
        };
        let lost = self.silence >= Self::SUSPICION_TIMEOUT + Self::MUSTER + wait + alone;
        let unconfirmed = self.confirmation_age >= Self::MAX_CONFIRMED_AGE + wait;
        let leaving = self.is_leaving && self.rank == 0;
        match lost || unconfirmed || leaving {
            true => TakeoverStep::TakeOver,
            false => TakeoverStep::Follow,
        }
    }
}
