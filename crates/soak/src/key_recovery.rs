//! Time until the keys of crashed servers are granted again.

use crate::prelude::*;

/// Sampled keys that crashed servers held.
#[derive(Default)]
pub(crate) struct KeyRecovery {
    /// Keys that no server has been granted since, with the time of the crash.
    lost: IndexMap<u16, MonoTime>,
    times: Vec<Duration>,
}

/// Distribution of the times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecoveryTimes {
    /// Number of sampled keys.
    pub(crate) count: usize,
    /// Time after which half of them were granted again.
    pub(crate) median: Duration,
    /// Time after which 99 in 100 of them were.
    pub(crate) p99: Duration,
}

impl KeyRecovery {
    /// Distance between two sampled keys.
    const SAMPLE_STEP: usize = 64;

    /// Keys that are sampled.
    fn sampled_keys() -> impl Iterator<Item = u16> {
        (0..=u16::MAX).step_by(Self::SAMPLE_STEP)
    }

    /// Records the keys that a server holds as it crashes.
    pub(crate) fn record_crash(&mut self, keys: &BackendKeys, now: MonoTime) {
        for key in Self::sampled_keys() {
            if keys.valid_fence(key, now).is_some() {
                self.lost.entry(key).or_insert(now);
            }
        }
    }

    /// Records a grant that a server accepted.
    pub(crate) fn record_grant(&mut self, order: &KeyOrder, now: MonoTime) {
        let times = &mut self.times;
        self.lost.retain(|key, at| {
            let is_granted = (order.first..=order.last).contains(key);
            if is_granted {
                times.push(now.since(*at));
            }
            !is_granted
        });
    }

    /// Times of all keys granted again so far.
    pub(crate) fn times(&self) -> Vec<Duration> {
        self.times.clone()
    }
}

/// Measures how long keys are without a holder after a restore of the store, until the next restore;
/// a planned move of a key is without one for some milliseconds.
pub(crate) async fn watch_restore(world: Arc<SoakWorld>) {
    /// Time within which all keys are held again; longer than any grant.
    const PERIOD: Duration = Duration::from_secs(10);
    const STEP: Duration = Duration::from_millis(10);
    let era = || world.store.objects.lock().unwrap().era();
    let (restored_at, restored_in) = (SteadyClock.now(), era());
    let keys: Vec<u16> = KeyRecovery::sampled_keys().collect();
    let mut times = vec![Duration::ZERO; keys.len()];
    let mut last = restored_at;
    loop {
        let now = SteadyClock.now();
        if now.since(restored_at) > PERIOD || era() != restored_in {
            break;
        }
        let step = now.since(last);
        last = now;
        for (time, is_held) in times.iter_mut().zip(world.ledger.are_held(&keys)) {
            if !is_held {
                *time += step;
            }
        }
        Timer::after(STEP).await;
    }
    world.ledger.restore_times.lock().unwrap().extend(times);
}

impl RecoveryTimes {
    /// Distribution of `times`; `None` if there are none.
    pub(crate) fn of(mut times: Vec<Duration>) -> Option<Self> {
        times.sort();
        let at_share = |share: f64| times.get((times.len() as f64 * share) as usize).copied();
        Some(Self {
            count: times.len(),
            median: at_share(0.5)?,
            p99: at_share(0.99)?,
        })
    }
}

impl std::fmt::Display for RecoveryTimes {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let (median, p99) = (self.median.as_millis(), self.p99.as_millis());
        write!(
            f,
            "{} sampled, median {median} ms, 99 in 100 within {p99} ms",
            self.count
        )
    }
}
