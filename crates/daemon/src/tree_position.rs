//! Position of an instance in the tree by which changes of the store spread to all instances.
//!
//! Each instance computes the tree from the ranking of all instances, so equal rankings give equal
//! trees: the first few instances watch the store and pull from each other, every other instance
//! pulls from a parent of lower rank number.

/// Position of an instance in the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TreePosition {
    /// Whether the instance watches the store.
    pub(crate) watches: bool,
    /// Ranks of the instances that it may pull from, preferred first.
    pub(crate) parents: Vec<usize>,
}

impl TreePosition {
    /// Number of instances that watch the store.
    pub(crate) const WATCHERS: usize = 3;
    /// Maximum number of children of a parent while no instance is lost.
    pub(crate) const ARITY: usize = 8;

    /// Returns the position of the instance at `rank` among `count` instances.
    pub(crate) fn at(rank: usize, count: usize) -> Self {
        let watchers = Self::WATCHERS.min(count);
        if rank < watchers {
            return Self {
                watches: true,
                parents: (1..watchers).map(|step| (rank + step) % watchers).collect(),
            };
        }
        let parent = (rank - watchers) / Self::ARITY;
        let other_watchers = (0..watchers)
            .map(|step| (parent + step) % watchers)
            .filter(|watcher| *watcher != parent);
        Self {
            watches: false,
            parents: std::iter::once(parent).chain(other_watchers).collect(),
        }
    }
}
