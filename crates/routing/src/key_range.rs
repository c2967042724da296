//! One range of keys and who holds it.

use crate::prelude::*;

/// Keys from `first` to `last`, both inclusive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence of the owner's grant; no other range ever has the same one, but parts of this one.
    pub fence: u64,
    /// Server that owns the range.
    pub owner: ServerIncarnation,
    /// Whether the owner holds it already.
    pub state: RangeState,
}

/// How far a range has come to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RangeState {
    /// The owner has been granted the range.
    Settled,
    /// The range is on its way from `previous`, who held it under a lower fence.
    Moving {
        /// Server that has to give it up first, none if no server can hold it.
        previous: Option<ServerIncarnation>,
    },
}

impl KeyRange {
    /// Whether the key lies in the range.
    pub fn contains(&self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Number of keys.
    pub fn len(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Never: a range has at least one key.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Whether the owner holds it.
    pub fn is_settled(&self) -> bool {
        self.state == RangeState::Settled
    }

    /// Whether `holder` has to give it up before its owner, perhaps the same server, is granted it.
    pub(crate) fn is_leaving(&self, holder: &ServerIncarnation) -> bool {
        matches!(&self.state, RangeState::Moving { previous: Some(previous) } if previous == holder)
    }
}
