//! Decides when an instance takes over the leadership of a service's keys.

use crate::prelude::*;

/// What an instance knows about the leader that a key record names.
#[derive(Clone, Copy, Debug)]
pub struct LeaderView {
    /// Whether the record names an earlier incarnation of this instance.
    pub is_own_earlier_incarnation: bool,
    /// Time since the last heartbeat of the leader, or since this instance began to listen.
    pub silence: Duration,
    /// Time since the store last confirmed the leader, as the leader reports it.
    pub confirmation_age: Duration,
    /// Whether this instance has recently received heartbeats of other instances.
    pub hears_peers: bool,
    /// Whether the leader has announced that it stops or yields to a stronger instance.
    pub is_leaving: bool,
    /// Position of this instance among those that could take over; 0 is the first.
    pub rank: usize,
}

/// Decision on the leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Keep following the current leader.
    Follow,
    /// Write this instance into the record as the leader.
    TakeOver,
}

impl LeaderView {
    /// Silence after which a leader is suspected and all instances send heartbeats to each other.
    pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(480);
    /// Additional silence, in which the instances receive each other's heartbeats.
    const PEER_EXCHANGE_TIME: Duration = Duration::from_millis(270);
    /// Additional silence per rank, so that few instances write at the same time.
    const RANK_STEP: Duration = Duration::from_millis(150);
    /// Age of the leader's confirmation from which an instance that reaches the store replaces it.
    const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_800);
    /// Additional silence for an instance that hears no peers, since the fault may be its own.
    const ISOLATION_DELAY: Duration = Duration::from_secs(3);
    /// The same for each rank from `TAIL_RANK` on. Those before it may all be unable to take over, but
    /// as many as all instances together must not try to.
    const TAIL_RANK_STEP: Duration = Duration::from_millis(100);
    /// Rank from which on the additional silence grows more slowly.
    const TAIL_RANK: usize = 8;

    /// Decides whether this instance takes over. It does so at once from its own earlier
    /// incarnation or, as the first in rank, from a leader that leaves; otherwise once the leader
    /// has been silent or unconfirmed for too long.
    pub fn next_step(&self) -> TakeoverStep {
        if self.is_own_earlier_incarnation {
            return TakeoverStep::TakeOver;
        }
        let tail = self.rank.saturating_sub(Self::TAIL_RANK) as u32;
        let rank_delay =
            Self::RANK_STEP * self.rank.min(Self::TAIL_RANK) as u32 + Self::TAIL_RANK_STEP * tail;
        let isolation_delay = match self.hears_peers {
            true => Duration::ZERO,
            false => Self::ISOLATION_DELAY,
        };
        let is_lost = self.silence
            >= Self::SUSPICION_TIMEOUT + Self::PEER_EXCHANGE_TIME + rank_delay + isolation_delay;
        let is_unconfirmed = self.confirmation_age >= Self::MAX_CONFIRMATION_AGE + rank_delay;
        let is_first_after_leaving = self.is_leaving && self.rank == 0;
        match is_lost || is_unconfirmed || is_first_after_leaving {
            true => TakeoverStep::TakeOver,
            false => TakeoverStep::Follow,
        }
    }
}
