//! What is known from the earlier attempts of a request.

use crate::prelude::*;

/// Earlier attempts of a request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// Servers that were tried, whether or not the request could be sent to them.
    pub(crate) tried: Vec<ServerIncarnation>,
    /// Key record that named a server which turned out not to own the key.
    pub(crate) stale_record: Option<StaleRecord>,
    /// Whether servers are tried although this instance does not seem to reach them.
    pub(crate) ignores_reach: bool,
    /// Total time spent waiting for a server.
    pub(crate) waited: Duration,
}

/// A key record that named the wrong owner.
#[derive(Clone, Copy)]
pub(crate) struct StaleRecord {
    pub(crate) revision: StoreRevision,
    /// Until when the record is ignored and a newer one is waited for.
    pub(crate) ignored_until: MonoTime,
}

impl StaleRecord {
    /// How long to wait for a newer record.
    const IGNORE_TIME: Duration = Duration::from_millis(250);

    /// Marks the record of `revision` as stale from `now` on.
    pub(crate) fn new(revision: StoreRevision, now: MonoTime) -> Self {
        Self {
            revision,
            ignored_until: now.after(Self::IGNORE_TIME),
        }
    }
}
