//! What earlier attempts of a request have shown.

use crate::prelude::*;

/// What has been tried for a request.
#[derive(Default)]
pub(crate) struct TriedServers {
    /// Servers that it was sent to or could not be.
    pub(crate) marks: Vec<ServerIncarnation>,
    /// Key record that named a server which does not hold the key.
    pub(crate) wrong: Option<WrongRecord>,
    /// Time spent waiting for room.
    pub(crate) waited: Duration,
}

/// A key record that proved wrong.
#[derive(Clone, Copy)]
pub(crate) struct WrongRecord {
    pub(crate) revision: u64,
    /// Until when a newer one is waited for.
    pub(crate) until: MonoTime,
}

impl WrongRecord {
    /// Time for which a newer record is waited for.
    const WAIT_TIME: Duration = Duration::from_millis(250);

    /// The record of `revision`, found wrong `now`.
    pub(crate) fn new(revision: u64, now: MonoTime) -> Self {
        Self {
            revision,
            until: now.after(Self::WAIT_TIME),
        }
    }
}
