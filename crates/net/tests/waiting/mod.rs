//! Waiting for a listener in tests.

use {crate::common::ObservedListener, std::time::Duration};

impl ObservedListener {
    /// Waits until something is reached, for 30 s at most.
    pub(crate) fn wait(&self, mut is_reached: impl FnMut() -> bool) {
        for _ in 0..3_000 {
            if is_reached() {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("not reached; {} connections", self.connections.count());
    }
}
