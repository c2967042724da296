//! Outcomes of conditional writes.

use crate::prelude::*;

/// Outcome of a conditional write or removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the object now has this version.
    Written(ObjectVersion),
    /// The write did not take effect because its precondition was not met.
    Conflict,
}
