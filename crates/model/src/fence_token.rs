//! Fencing tokens, which order the leaders that grant keys and send requests.
//!
//! A server that checks fences refuses any message whose fence is lower than the highest one that
//! it has accepted. Fences compare lexicographically: a newer term is higher than every rank and
//! edition of an older one.

use crate::prelude::*;

/// Fencing token of a message to a server, compared field by field in declaration order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FenceToken {
    /// Term of the part's leader.
    pub term: u64,
    /// Round of the votes within the term: 0 for the leader in the part's record at first, higher
    /// for a standby that leads without a new record, as during a store outage.
    pub rank: u32,
    /// Edition of the part's record that the sender acts on.
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
        let parse_error = || WireError::new("fence", text, "TERM.RANK.EDITION");
        let mut fields = text.splitn(3, '.');
        let mut next = || fields.next().ok_or_else(parse_error);
        Ok(Self {
            term: next()?.parse().map_err(|_| parse_error())?,
            rank: next()?.parse().map_err(|_| parse_error())?,
            edition: next()?.parse().map_err(|_| parse_error())?,
        })
    }
}
