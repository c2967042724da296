//! Shares of the process's file descriptors.
//!
//! The callers' connections get at most 70 % of what the files leave, the rest is for connections
//! to servers, helpers, peers and the store and for the other listeners. On the smallest machine,
//! with 3,075 descriptors, that leaves 2,000 connections to callers, 108 to operators, 436 to other
//! instances and 331 to servers, helpers and the store.

use crate::GatewaySettings;

/// Largest numbers of connections that the listeners accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DescriptorPlan {
    /// Connections of callers.
    pub(crate) callers: usize,
    /// Connections of instances that do not reach the servers.
    pub(crate) relay: usize,
    /// Connections of instances that fetch the store's objects.
    pub(crate) feed: usize,
    /// Connections on each of the readiness and operator addresses.
    pub(crate) operators: usize,
}

impl DescriptorPlan {
    /// Descriptors for files, which are not available to connections.
    const FILES: usize = 200;
    /// Largest share of the other descriptors that callers get, in percent.
    const CALLERS_PERCENT: usize = 70;
    const MAX_RELAY: usize = 1_024;
    const MAX_FEED: usize = 512;
    const MAX_OPERATORS: usize = 64;

    /// Shares out `max_descriptors`, if they are limited, for at most `max_callers` connections of
    /// callers.
    pub(crate) fn new(max_descriptors: Option<usize>, max_callers: usize) -> Self {
        let Some(total) = max_descriptors else {
            return Self {
                callers: max_callers,
                relay: Self::MAX_RELAY,
                feed: Self::MAX_FEED,
                operators: Self::MAX_OPERATORS,
            };
        };
        let sockets = total.saturating_sub(Self::FILES);
        let callers = max_callers
            .min(sockets * Self::CALLERS_PERCENT / 100)
            .max(1);
        let others = sockets.saturating_sub(callers);
        Self {
            callers,
            relay: (others / 4).clamp(1, Self::MAX_RELAY),
            feed: (others / 4).clamp(1, Self::MAX_FEED),
            operators: (others / 16).clamp(1, Self::MAX_OPERATORS),
        }
    }

    /// Descriptors that connections of the listeners may use together.
    #[cfg(test)]
    pub(crate) fn accepted(self) -> usize {
        self.callers + self.relay + self.feed + 2 * self.operators
    }
}

impl From<&GatewaySettings> for DescriptorPlan {
    fn from(settings: &GatewaySettings) -> Self {
        Self::new(settings.max_descriptors, settings.max_connections)
    }
}
