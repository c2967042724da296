//! Which servers get no keys because of how they answer orders.

use crate::prelude::*;

/// Why a server gets no keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyExclusion {
    /// It has ended.
    Ended,
    /// It leaves orders unanswered; ends with an answer.
    Unresponsive,
    /// It calls orders invalid although it had accepted others; ends with an accepted order.
    Rejecting,
    /// A connection to it broke a short time ago.
    Broken,
}

impl KeyExclusion {
    /// Value of the `reason` field in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Unresponsive => "unresponsive",
            Self::Rejecting => "rejecting",
            Self::Broken => "broken",
        }
    }
}

/// Beginning or end of a server's exclusion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExclusionChange {
    /// The server.
    pub server: ServerIncarnation,
    /// Why it gets no keys, or got none.
    pub reason: KeyExclusion,
    /// Time after which it may get keys again, `None` at the beginning.
    pub ended_after: Option<Duration>,
}

/// Excluded servers of one service.
#[derive(Clone, Debug, Default)]
pub struct ExclusionTable {
    servers: IndexMap<ServerIncarnation, ExcludedServer>,
}

#[derive(Clone, Debug, Default)]
struct ExcludedServer {
    /// Reason and start of the present exclusion.
    current: Option<(KeyExclusion, MonoTime)>,
}

impl ExclusionTable {
    /// Applies the present state of all servers; returns what has changed. Servers that are not
    /// among `states` are forgotten.
    pub fn update<'a>(
        &mut self,
        states: impl Iterator<Item = (&'a ServerIncarnation, Option<KeyExclusion>)>,
        now: MonoTime,
    ) -> Vec<ExclusionChange> {
        let mut changes = Vec::new();
        let mut updated = IndexMap::new();
        for (incarnation, exclusion) in states {
            let known = self.servers.swap_remove(incarnation);
            let mut server = known.unwrap_or_default();
            let change = |reason, ended_after| ExclusionChange {
                server: incarnation.clone(),
                reason,
                ended_after,
            };
            match (server.current, exclusion) {
                (None, Some(reason)) => changes.push(change(reason, None)),
                (Some((reason, since)), None) => {
                    changes.push(change(reason, Some(now.since(since))));
                }
                (None, None) | (Some(_), Some(_)) => {}
            }
            let since = server.current.map_or(now, |(_, since)| since);
            server.current = exclusion.map(|reason| (reason, since));
            if server.current.is_some() {
                updated.insert(incarnation.clone(), server);
            }
        }
        self.servers = updated;
        changes
    }
}
