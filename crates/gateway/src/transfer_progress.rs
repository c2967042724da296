//! How much of a message has arrived.

use crate::prelude::*;

/// Number of bytes that have arrived, shared by the codec that counts them and whoever waits.
#[derive(Clone, Debug, Default)]
pub(crate) struct TransferProgress {
    received: Arc<AtomicUsize>,
}

impl TransferProgress {
    /// Records how many bytes have arrived so far.
    pub(crate) fn record(&self, bytes: usize) {
        self.received.fetch_max(bytes, Ordering::Relaxed);
    }

    /// Number of bytes that have arrived so far.
    pub(crate) fn received_bytes(&self) -> usize {
        self.received.load(Ordering::Relaxed)
    }
}
