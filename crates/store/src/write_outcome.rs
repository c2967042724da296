//! Results of writes.

use crate::prelude::*;

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and made this version.
    Written(ObjectVersion),
    /// The object was not in the required state.
    Conflict,
}
