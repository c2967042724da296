//! Rows of a roster: servers in use, and what is remembered of removed ones.

use crate::{
    known_server::{KnownServer, KnownStanding},
    prelude::*,
};

/// Server in use.
#[derive(Debug)]
pub(crate) struct RosterRow {
    pub(crate) entry: ServerEntry,
    pub(crate) revision: StoreRevision,
    /// When the server counts as gone unless its entry is written again.
    pub(crate) expires_at: Option<MonoTime>,
}

/// Server whose entry was removed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemovedServer {
    pub(crate) revision: StoreRevision,
    pub(crate) server: KnownServer,
}

impl RosterRow {
    /// The incarnation and its standing.
    pub(crate) fn known_server(&self) -> KnownServer {
        KnownServer {
            born: self.entry.incarnation.born,
            sequence: self.entry.sequence,
            standing: match self.entry.state {
                ServerState::Ready => KnownStanding::Ready,
                ServerState::Draining => KnownStanding::Draining,
            },
        }
    }

    /// What to remember of the server when it is removed at a revision.
    pub(crate) fn removed_at(&self, revision: StoreRevision) -> RemovedServer {
        RemovedServer {
            revision,
            server: KnownServer {
                standing: KnownStanding::Gone,
                ..self.known_server()
            },
        }
    }
}
