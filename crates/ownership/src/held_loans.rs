//! The loans that a holder has, and how long a majority of them lasts.

use crate::prelude::*;

/// Loans of one part by lender.
#[derive(Clone, Debug, Default)]
pub struct HeldLoans {
    loans: IndexMap<InstanceId, HeldLoan>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLoan {
    until: MonoTime,
    edition: u64,
    claim: (u64, u32),
}

impl HeldLoans {
    /// Notes a loan that lasts until `until`, given under `claim` by a lender that knows `edition`.
    pub fn note(&mut self, lender: &InstanceId, until: MonoTime, edition: u64, claim: (u64, u32)) {
        let loan = self.loans.entry(lender.clone()).or_insert(HeldLoan {
            until,
            edition,
            claim,
        });
        loan.until = loan.until.max(until);
        loan.edition = loan.edition.max(edition);
        loan.claim = loan.claim.max(claim);
    }

    /// Forgets all loans.
    pub fn clear(&mut self) {
        self.loans.clear();
    }

    /// Our reading until which a majority of `trio` lends, all knowing `edition` and asked at
    /// `claim` or later; members for which `gone` holds lend to nobody for ever.
    pub fn majority_until(
        &self,
        trio: &[InstanceId],
        edition: u64,
        claim: (u64, u32),
        gone: impl Fn(&InstanceId) -> bool,
    ) -> MonoTime {
        let mut ends: Vec<MonoTime> = trio
            .iter()
            .map(|member| match self.loans.get(member) {
                _ if gone(member) => MonoTime(u64::MAX),
                Some(loan) if loan.edition >= edition && loan.claim >= claim => loan.until,
                _ => MonoTime::default(),
            })
            .collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        ends.get(trio.len() / 2).copied().unwrap_or_default()
    }
}
