//! What is known of a server from an earlier era of the store, against which its entries of the
//! present one are judged.

use crate::prelude::*;
use std::cmp::Ordering;

/// Incarnation of a server, as of an earlier era.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownServer {
    /// Start time of the incarnation.
    pub(crate) born: u64,
    /// Latest count in its entries.
    pub(crate) sequence: Option<u64>,
    pub(crate) standing: KnownStanding,
}

/// What the earlier era said last of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KnownStanding {
    Ready,
    Draining,
    Gone,
}

/// Whether an entry of the present era is to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryVerdict {
    /// It is at least as late as what is known.
    Accepted,
    /// It may be older than what is known.
    Held,
}

impl KnownServer {
    /// Judges an entry, which may come from the copy if `is_copied`.
    pub(crate) fn judge(self, entry: &ServerEntry, is_copied: bool) -> EntryVerdict {
        let is_later = self
            .sequence
            .zip(entry.sequence)
            .is_some_and(|(known, sequence)| sequence > known);
        let is_accepted = match entry.incarnation.born.cmp(&self.born) {
            Ordering::Greater => true,
            Ordering::Less => false,
            Ordering::Equal => match self.standing {
                KnownStanding::Ready => true,
                KnownStanding::Draining => is_later || entry.state == ServerState::Draining,
                // The count grows between two changes of the entry, so it may be higher in the copy
                // than in the last change that is known.
                KnownStanding::Gone => is_later && !is_copied,
            },
        };
        match is_accepted {
            true => EntryVerdict::Accepted,
            false => EntryVerdict::Held,
        }
    }
}
