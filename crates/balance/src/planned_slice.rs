//! A slice while a plan is made.

/// A slice with its expected load.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedSlice {
    /// First hash.
    pub(crate) start: u64,
    /// Last hash.
    pub(crate) end: u64,
    /// Position of the owner among the servers, none when it is not one of them.
    pub(crate) owner: Option<usize>,
    /// Slots busy on average.
    pub(crate) load: f64,
    /// Whether the slice may be moved now.
    pub(crate) movable: bool,
}

impl PlannedSlice {
    /// Whether the slice holds a single hash.
    pub(crate) fn is_single(&self) -> bool {
        self.start == self.end
    }

    /// Hash in the middle, where the second half of a split starts.
    pub(crate) fn middle(&self) -> u64 {
        self.start + (self.end - self.start) / 2 + 1
    }
}
