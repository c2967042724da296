//! Conditions of writes.

use crate::prelude::*;

/// State in which an object must be for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    Version(ObjectVersion),
}
