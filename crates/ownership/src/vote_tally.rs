//! The votes that a candidate or leader has received, and how long a majority of them lasts.

use crate::prelude::*;

/// Votes received for one part, by voter.
#[derive(Clone, Debug, Default)]
pub struct VoteTally {
    votes: IndexMap<InstanceId, ReceivedVote>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedVote {
    expires_at: MonoTime,
    edition: u64,
    ballot: (u64, u32),
}

impl VoteTally {
    /// Adds a vote that lasts until `expires_at`, given at `ballot` by a voter that knows
    /// `edition`.
    pub fn record(
        &mut self,
        voter: &InstanceId,
        expires_at: MonoTime,
        edition: u64,
        ballot: (u64, u32),
    ) {
        let vote = self.votes.entry(voter.clone()).or_insert(ReceivedVote {
            expires_at,
            edition,
            ballot,
        });
        vote.expires_at = vote.expires_at.max(expires_at);
        vote.edition = vote.edition.max(edition);
        vote.ballot = vote.ballot.max(ballot);
    }

    /// Removes all votes.
    pub fn clear(&mut self) {
        self.votes.clear();
    }

    /// Time on this instance's clock until which a majority of `members` votes for it.
    ///
    /// Only votes at `ballot` or later from voters that know `edition` count. A member for which
    /// `ended` holds can vote for no other instance any more, so it counts as a vote without end.
    pub fn majority_until(
        &self,
        members: &[InstanceId],
        edition: u64,
        ballot: (u64, u32),
        ended: impl Fn(&InstanceId) -> bool,
    ) -> MonoTime {
        let mut expiries: Vec<MonoTime> = members
            .iter()
            .map(|member| match self.votes.get(member) {
                _ if ended(member) => MonoTime(u64::MAX),
                Some(vote) if vote.edition >= edition && vote.ballot >= ballot => vote.expires_at,
                _ => MonoTime::default(),
            })
            .collect();
        expiries.sort_unstable_by(|left, right| right.cmp(left));
        expiries.get(members.len() / 2).copied().unwrap_or_default()
    }
}
