//! One range of keys, its owner and the state of its move there.

use crate::prelude::*;

/// Contiguous range of keys from `first` to `last`, both inclusive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// Lowest key of the range.
    pub first: u16,
    /// Highest key of the range.
    pub last: u16,
    /// Fencing token of the owner's grant. Only ranges split off from this one share it.
    pub fence: u64,
    /// Server that owns the range.
    pub owner: ServerIncarnation,
    /// Whether the move to the owner has completed.
    pub state: RangeState,
}

/// State of a range's move to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RangeState {
    /// The owner has been granted the range.
    Settled,
    /// The range is moving to its owner from `previous`, which held it under a lower fence.
    Moving {
        /// Server that must release the range first; `None` if no server can still hold it.
        previous: Option<ServerIncarnation>,
    },
}

impl KeyRange {
    /// Whether the key lies in the range.
    pub fn contains(&self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Number of keys in the range.
    pub fn len(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Always false: a range has at least one key.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Whether the move to the owner has completed.
    pub fn is_settled(&self) -> bool {
        self.state == RangeState::Settled
    }

    /// Whether `next` is this range, with the same owner and state, under a higher fence.
    pub(crate) fn is_raised_to(&self, next: &KeyRange) -> bool {
        next.fence > self.fence
            && *self
                == KeyRange {
                    fence: self.fence,
                    ..next.clone()
                }
    }

    /// Whether `holder` must release the range before the owner, possibly the same server, is
    /// granted it.
    pub(crate) fn is_leaving(&self, holder: &ServerIncarnation) -> bool {
        matches!(&self.state, RangeState::Moving { previous: Some(previous) } if previous == holder)
    }
}
