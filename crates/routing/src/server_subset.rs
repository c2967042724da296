//! Deterministic subsetting: which of many servers an instance normally uses.
//!
//! With many instances and servers, each instance would send each server too few requests:
//! connections close before they are used again, and load reports are stale. Each instance
//! therefore uses a segment of a ring of the servers; the segments of all instances cover the ring
//! evenly. An instance uses other servers only when all of its segment are full.

/// Position of an instance among the instances that share a set of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstancePosition {
    /// Index in the order of instance names, from 0.
    pub index: usize,
    /// Number of instances, at least 1.
    pub count: usize,
}

/// Positions of an instance among the instances of its data centre and among all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstancePositions {
    /// Position among the instances of the same data centre.
    pub local: InstancePosition,
    /// Position among all instances.
    pub all: InstancePosition,
}

impl Default for InstancePosition {
    /// Position of a single instance.
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}

impl InstancePosition {
    /// Counts another instance, whose name sorts before or after this one's.
    pub fn count_other(&mut self, is_before: bool) {
        self.count += 1;
        self.index += usize::from(is_before);
    }
}

/// Rules for the subset of servers that an instance uses.
#[derive(Clone, Copy, Debug)]
pub struct ServerSubset;

impl ServerSubset {
    /// Number of servers that an instance uses in its own data centre.
    pub const LOCAL_SERVERS: usize = 12;
    /// Number of servers that an instance uses in other data centres.
    pub const REMOTE_SERVERS: usize = 8;

    /// Returns the positions of the `size` servers that an instance uses in a ring of `servers`.
    pub fn positions(
        servers: usize,
        size: usize,
        position: InstancePosition,
    ) -> impl Iterator<Item = usize> {
        let start = match size >= servers {
            true => 0,
            false => position.index * servers / position.count.max(1),
        };
        (0..size.min(servers)).map(move |step| (start + step) % servers)
    }

    /// Highest number of idle connections that an instance keeps to a server which accepts
    /// `max_connections` in total and is used by `users` instances.
    pub fn max_idle_connections(max_connections: usize, users: usize) -> usize {
        /// Share of a server's connections that may be idle; the rest is left for requests.
        const IDLE_SHARE: f64 = 0.5;
        /// Number of idle connections above which more bring no benefit.
        const MAX_PER_SERVER: usize = 4;
        let share = max_connections as f64 * IDLE_SHARE / users.max(1) as f64;
        (share as usize).clamp(1, MAX_PER_SERVER)
    }
}
