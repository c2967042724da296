//! A server as the planner of key moves sees it.

use crate::prelude::*;

/// A server that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedServer {
    /// Identifier of the server and of this incarnation.
    pub incarnation: ServerIncarnation,
    /// Requests that the server can serve per second.
    pub capacity: f64,
    /// Requests of the window that the server accepts, if it names a limit. Requests beyond it are
    /// refused.
    pub limit: Option<f64>,
}

impl PlannedServer {
    /// Part of its limit that a server is loaded with when it gives or receives keys.
    const LIMIT_TARGET: f64 = 0.5;
    /// Part of its limit above which a server gives keys away.
    const LIMIT_THRESHOLD: f64 = 0.8;

    /// Load that the server has to give away when it is loaded with `weight`, if any.
    pub(crate) fn surplus(&self, weight: f64) -> Option<f64> {
        let limit = self.limit?;
        let is_over = weight > limit * Self::LIMIT_THRESHOLD;
        is_over.then_some(weight - limit * Self::LIMIT_TARGET)
    }

    /// Whether the server would be loaded with `weight` without having to give keys away.
    pub(crate) fn can_bear(&self, weight: f64) -> bool {
        self.limit
            .is_none_or(|limit| weight <= limit * Self::LIMIT_TARGET)
    }
}
