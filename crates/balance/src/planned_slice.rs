//! A slice as seen by the planner.

/// A slice with its owner and expected load.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedSlice {
    /// First hash.
    pub(crate) start: u64,
    /// Last hash.
    pub(crate) end: u64,
    /// Index of the owner in the list of servers, or `None` if it is not in the list.
    pub(crate) owner: Option<usize>,
    /// Mean number of busy slots.
    pub(crate) load: f64,
    /// Whether the slice may be moved now.
    pub(crate) movable: bool,
}

impl PlannedSlice {
    /// Whether the slice holds a single hash.
    pub(crate) fn is_single(&self) -> bool {
        self.start == self.end
    }

    /// First hash of the second half.
    pub(crate) fn middle(&self) -> u64 {
        self.start + (self.end - self.start) / 2 + 1
    }
}
