//! Latest object version known here and at peers; every frame between instances announces the one
//! that its sender knows.

use crate::prelude::*;
use event_listener::Event;

/// Latest object version that this instance knows, and the latest that any peer has announced.
#[derive(Debug, Default)]
pub(crate) struct FeedHints {
    own_version: AtomicU64,
    announced: AtomicU64,
    /// Notified when a peer announces a version that is newer than all before.
    raised: Event,
}

impl FeedHints {
    /// Returns the latest version that this instance knows.
    pub(crate) fn own_version(&self) -> u64 {
        self.own_version.load(Ordering::SeqCst)
    }

    /// Raises the version that this instance knows to `version`.
    pub(crate) fn raise_own_version(&self, version: u64) {
        self.own_version.fetch_max(version, Ordering::SeqCst);
    }

    /// Records a version that a peer has announced.
    pub(crate) fn record_announced(&self, version: u64) {
        if self.announced.fetch_max(version, Ordering::SeqCst) < version
            && version > self.own_version()
        {
            self.raised.notify(usize::MAX);
        }
    }

    /// Returns whether a peer has announced a newer version than this instance knows.
    pub(crate) fn is_behind(&self) -> bool {
        self.announced.load(Ordering::SeqCst) > self.own_version()
    }

    /// Waits until a peer announces a version that is newer than all announced before and than the
    /// version known here.
    pub(crate) async fn wait_for_newer(&self) {
        self.raised.listen().await;
    }
}
