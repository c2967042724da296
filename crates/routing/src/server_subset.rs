//! Which servers of many an instance uses in ordinary times.
//!
//! Where instances and servers are many, each pair of them meets too seldom: connections close
//! before they are used again, and what is known of a server's load is old. So each instance uses a
//! stretch of the servers' ring, and the stretches of all instances cover the ring evenly. The
//! other servers are used when all of the stretch are full.

/// Position of an instance among all that share some servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstancePosition {
    /// Position in the order of names, from 0.
    pub index: usize,
    /// Number of instances, 1 at least.
    pub count: usize,
}

/// Positions of an instance among those of its data centre, and among all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstancePositions {
    /// Among those of its data centre.
    pub local: InstancePosition,
    /// Among all.
    pub all: InstancePosition,
}

impl Default for InstancePosition {
    /// The only instance.
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}

impl InstancePosition {
    /// Counts another instance in, which comes before this one or after it.
    pub fn count_other(&mut self, is_before: bool) {
        self.count += 1;
        self.index += usize::from(is_before);
    }
}

/// Rules of the stretch.
#[derive(Clone, Copy, Debug)]
pub struct ServerSubset;

impl ServerSubset {
    /// Servers of its own data centre that an instance uses.
    pub const LOCAL_SERVERS: usize = 12;
    /// Servers elsewhere that it uses.
    pub const REMOTE_SERVERS: usize = 8;

    /// Positions, in a ring of `servers`, of the `size` ones that an instance uses.
    pub fn positions(
        servers: usize,
        size: usize,
        place: InstancePosition,
    ) -> impl Iterator<Item = usize> {
        let start = match size >= servers {
            true => 0,
            false => place.index * servers / place.count.max(1),
        };
        (0..size.min(servers)).map(move |step| (start + step) % servers)
    }

    /// Idle connections that an instance keeps to one server which takes `max_connections` from
    /// all, where `users` instances keep some.
    pub fn max_idle_connections(max_connections: usize, users: usize) -> usize {
        /// Share of a server's connections that may be idle; the others carry requests.
        const IDLE_SHARE: f64 = 0.5;
        /// Idle connections beyond which more are of no use.
        const MOST: usize = 4;
        let share = max_connections as f64 * IDLE_SHARE / users.max(1) as f64;
        (share as usize).clamp(1, MOST)
    }
}
