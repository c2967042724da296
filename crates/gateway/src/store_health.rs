//! Availability of the platform's store as seen by this instance.

use crate::prelude::*;

/// Availability of the store, derived from the results of the latest calls.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    state: StateMutex<HealthState>,
    /// Notified by the first answered call after a failed one.
    recovered: Event,
}

#[derive(Debug, Default)]
struct HealthState {
    unavailable_since: Option<MonoTime>,
    recovered_at: Option<MonoTime>,
    failures: u32,
    failed_at: MonoTime,
}

impl StoreHealth {
    /// Consecutive failures after which the store counts as unavailable.
    const FAILURE_THRESHOLD: u32 = 2;
    /// Time after a recovery in which live servers may still have to renew their expired entries;
    /// the platform's discovery page gives about two seconds.
    const RECOVERY_TIME: Duration = Duration::from_millis(2_300);

    /// Time after a failed call after which an instance that makes no calls asks an unavailable
    /// store again, if it is one of few.
    const RETRY_INTERVAL: Duration = Duration::from_millis(2_500);
    /// The same for the many others.
    const RARE_RETRY_INTERVAL: Duration = Duration::from_secs(10);

    /// Records an answered call.
    pub(crate) fn record_success(&self, now: MonoTime) {
        let mut state = self.state.lock();
        if std::mem::take(&mut state.failures) > 0 {
            self.recovered.notify(usize::MAX);
        }
        if let Some(unavailable_since) = state.unavailable_since.take() {
            state.recovered_at = Some(now);
            let away = now.since(unavailable_since);
            let away_ms = away.as_millis() as u64;
            log::info!(away_ms; "store answers again");
        }
    }

    /// Records a call that failed.
    pub(crate) fn record_failure(&self, now: MonoTime, cause: &str) {
        let mut state = self.state.lock();
        state.failures += 1;
        state.failed_at = now;
        if state.failures >= Self::FAILURE_THRESHOLD && state.unavailable_since.is_none() {
            state.unavailable_since = Some(now);
            log::warn!(cause; "store does not answer; going on with what is known");
        }
    }

    /// Completes at the next answered call that follows a failed one. A call that was open during the
    /// failure may never be answered.
    pub(crate) fn wait_recovery(&self) -> impl Future<Output = ()> {
        self.recovered.listen()
    }

    /// Whether the store counts as unavailable.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.state.lock().unavailable_since.is_some()
    }

    /// Whether a call failed, or the store recovered, so recently that entries of live servers may be
    /// missing.
    pub(crate) fn is_unstable(&self, now: MonoTime) -> bool {
        let state = self.state.lock();
        let is_recent = |at: MonoTime| now.since(at) < Self::RECOVERY_TIME;
        state.failures > 0 && is_recent(state.failed_at)
            || state.recovered_at.is_some_and(is_recent)
    }

    /// Whether the store counts as unavailable and should be asked again. `is_exchanging` is whether
    /// this instance is one of few that act for all others while no leader does.
    pub(crate) fn is_retry_due(&self, is_exchanging: bool, now: MonoTime) -> bool {
        let interval = match is_exchanging {
            true => Self::RETRY_INTERVAL,
            false => Self::RARE_RETRY_INTERVAL,
        };
        let state = self.state.lock();
        state.unavailable_since.is_some() && now.since(state.failed_at) >= interval
    }
}
