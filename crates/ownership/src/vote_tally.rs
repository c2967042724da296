//! The votes that a holder has, and how long a majority of them lasts.

use crate::prelude::*;

/// Loans of one part by voter.
#[derive(Clone, Debug, Default)]
pub struct VoteTally {
    votes: IndexMap<InstanceId, ReceivedVote>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedVote {
    until: MonoTime,
    edition: u64,
    ballot: (u64, u32),
}

impl VoteTally {
    /// Notes a vote that lasts until `until`, given under `ballot` by a voter that knows `edition`.
    pub fn note(&mut self, voter: &InstanceId, until: MonoTime, edition: u64, ballot: (u64, u32)) {
        let vote = self.votes.entry(voter.clone()).or_insert(ReceivedVote {
            until,
            edition,
            ballot,
        });
        vote.until = vote.until.max(until);
        vote.edition = vote.edition.max(edition);
        vote.ballot = vote.ballot.max(ballot);
    }

    /// Forgets all votes.
    pub fn clear(&mut self) {
        self.votes.clear();
    }

    /// Our reading until which a majority of `trio` lends, all knowing `edition` and asked at
    /// `ballot` or later; members for which `gone` holds lend to nobody for ever.
    pub fn majority_until(
        &self,
        trio: &[InstanceId],
        edition: u64,
        ballot: (u64, u32),
        gone: impl Fn(&InstanceId) -> bool,
    ) -> MonoTime {
        let mut ends: Vec<MonoTime> = trio
            .iter()
            .map(|member| match self.votes.get(member) {
                _ if gone(member) => MonoTime(u64::MAX),
                Some(vote) if vote.edition >= edition && vote.ballot >= ballot => vote.until,
                _ => MonoTime::default(),
            })
            .collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        ends.get(trio.len() / 2).copied().unwrap_or_default()
    }
}
