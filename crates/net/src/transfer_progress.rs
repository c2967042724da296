//! How much of a message has arrived.

use crate::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of bytes that have arrived, shared by the codec that counts them and whoever waits.
#[derive(Clone, Debug, Default)]
pub struct TransferProgress {
    received: Arc<AtomicUsize>,
}

impl TransferProgress {
    /// Records how many bytes have arrived so far. A smaller number than before is left out.
    pub fn record(&self, bytes: usize) {
        self.received.fetch_max(bytes, Ordering::Relaxed);
    }

    /// Completes when nothing has arrived for `timeout`.
    pub async fn stalled(&self, timeout: Duration) {
        /// Number of looks within the time.
        const LOOKS: u32 = 4;
        let mut received = self.received_bytes();
        let mut quiet_looks = 0;
        while quiet_looks < LOOKS {
            async_io::Timer::after(timeout / LOOKS).await;
            let before = std::mem::replace(&mut received, self.received_bytes());
            quiet_looks = match received > before {
                true => 0,
                false => quiet_looks + 1,
            };
        }
    }

    /// Number of bytes that have arrived so far.
    pub fn received_bytes(&self) -> usize {
        self.received.load(Ordering::Relaxed)
    }
}
