//! Fences order the authority behind grants and requests.
//!
//! A server that checks fences refuses any order below the highest fence it has accepted. The order
//! is lexicographic: a newer term beats every rank and edition of an older one.

use crate::prelude::*;

/// Authority of an order, compared field by field.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FenceToken {
    /// Term of the part's leader.
    pub term: u64,
    /// 0 for the leader on record, 1 or 2 for a standby acting during a store outage.
    pub rank: u32,
    /// Edition of the part's record that the order reflects.
    pub edition: u64,
}

impl Display for FenceToken {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}.{}.{}", self.term, self.rank, self.edition)
    }
}

impl std::str::FromStr for FenceToken {
    type Err = WireError;

    fn from_str(text: &str) -> Result<Self, WireError> {
        let fault = || WireError::new("fence", text, "TERM.RANK.EDITION");
        let mut fields = text.splitn(3, '.');
        let mut next = || fields.next().ok_or_else(fault);
        Ok(Self {
            term: next()?.parse().map_err(|_| fault())?,
            rank: next()?.parse().map_err(|_| fault())?,
            edition: next()?.parse().map_err(|_| fault())?,
        })
    }
}
