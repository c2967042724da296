//! Who watches the store and who hears of changes from whom.
//!
//! The same order of instances on each of them gives the same tree: the first few watch the store
//! and each other, every other one has a parent above it.

/// Place of an instance in the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FeedPlace {
    /// Whether it watches the store.
    pub(crate) watches: bool,
    /// Ranks of those it may hear from, best first.
    pub(crate) parents: Vec<usize>,
}

impl FeedPlace {
    /// Instances that watch the store.
    pub(crate) const WATCHERS: usize = 3;
    /// Most instances that one parent serves when none is lost.
    pub(crate) const ARITY: usize = 8;

    /// Place of the instance at `rank` of `count`.
    pub(crate) fn at(rank: usize, count: usize) -> Self {
        let watchers = Self::WATCHERS.min(count);
        if rank < watchers {
            return Self {
                watches: true,
                parents: (1..watchers).map(|step| (rank + step) % watchers).collect(),
            };
        }
        let parent = (rank - watchers) / Self::ARITY;
        let others = (0..watchers)
            .map(|step| (parent + step) % watchers)
            .filter(|other| *other != parent);
        Self {
            watches: false,
            parents: std::iter::once(parent).chain(others).collect(),
        }
    }
}
