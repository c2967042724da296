//! Preconditions of writes.

use crate::prelude::*;

/// Precondition on the state of the object that a write replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    Version(ObjectVersion),
}
