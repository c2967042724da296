//! Whether the store answers this instance, and since when.

use crate::prelude::*;

/// Health of the store by the latest calls.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    state: Mutex<HealthState>,
    /// Notified at the first answered call after one that was not.
    returned: Event,
}

#[derive(Debug, Default)]
struct HealthState {
    lost_at: Option<MonoTime>,
    back_at: Option<MonoTime>,
    failures: u32,
}

impl StoreHealth {
    /// Failures in a row after which the store counts as lost.
    const MAX_FAILURES: u32 = 2;
    /// Time after a return in which lapsed entries may be written again (page on discovery: about
    /// two seconds).
    const RETURN_TIME: Duration = Duration::from_millis(2_300);

    /// Takes in a call that was answered.
    pub(crate) fn answered(&self, now: MonoTime) {
        let mut state = self.state.lock().unwrap();
        if std::mem::take(&mut state.failures) > 0 {
            self.returned.notify(usize::MAX);
        }
        if let Some(lost_at) = state.lost_at.take() {
            state.back_at = Some(now);
            let away_ms = now.since(lost_at).as_millis() as u64;
            log::info!(away_ms; "store answers again");
        }
    }

    /// Takes in a call that was not.
    pub(crate) fn failed(&self, now: MonoTime, cause: &str) {
        let mut state = self.state.lock().unwrap();
        state.failures += 1;
        if state.failures >= Self::MAX_FAILURES && state.lost_at.is_none() {
            state.lost_at = Some(now);
            log::warn!(cause; "store does not answer; going on with what is known");
        }
    }

    /// Ends at the next answered call after one that was not: a call that was open in between may
    /// never be answered.
    pub(crate) fn wait_return(&self) -> impl Future<Output = ()> {
        self.returned.listen()
    }

    /// Whether the store counts as lost.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.state.lock().unwrap().lost_at.is_some()
    }

    /// Whether the store is lost, or came back so lately that living servers may be missing.
    pub(crate) fn is_unstable(&self, now: MonoTime) -> bool {
        let state = self.state.lock().unwrap();
        state.lost_at.is_some()
            || state.failures > 0
            || state
                .back_at
                .is_some_and(|at| now.since(at) < Self::RETURN_TIME)
    }
}
