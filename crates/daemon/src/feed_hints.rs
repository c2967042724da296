//! How far peers say that they have come, from the frames that flow anyway.

use crate::prelude::*;
use event_listener::Event;

/// Latest versions known here and heard of.
#[derive(Debug, Default)]
pub(crate) struct FeedHints {
    own: AtomicU64,
    heard: AtomicU64,
    raised: Event,
}

impl FeedHints {
    /// Latest version known here.
    pub(crate) fn own(&self) -> u64 {
        self.own.load(Ordering::SeqCst)
    }

    /// Notes the latest version known here.
    pub(crate) fn set_own(&self, version: u64) {
        self.own.fetch_max(version, Ordering::SeqCst);
    }

    /// Notes a version that a peer knows.
    pub(crate) fn hear(&self, version: u64) {
        if self.heard.fetch_max(version, Ordering::SeqCst) < version && version > self.own() {
            self.raised.notify(usize::MAX);
        }
    }

    /// Whether a peer knows more.
    pub(crate) fn is_behind(&self) -> bool {
        self.heard.load(Ordering::SeqCst) > self.own()
    }

    /// Ends when a peer is heard that knows more than was heard of before.
    pub(crate) async fn wait_raised(&self) {
        self.raised.listen().await;
    }
}
