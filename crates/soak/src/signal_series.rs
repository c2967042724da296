//! Series of signals to send to an instance.

use crate::prelude::*;
use rustix::process::Signal;

/// Signals, each with the delay after the previous one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SignalSeries(pub(crate) Vec<(Duration, SentSignal)>);

impl SignalSeries {
    /// Signals that terminate a process by default, without those that report an error in it.
    const TERMINATING_SIGNALS: [Signal; 14] = [
        Signal::HUP,
        Signal::TERM,
        Signal::USR1,
        Signal::INT,
        Signal::ALARM,
        Signal::USR2,
        Signal::QUIT,
        Signal::VTALARM,
        Signal::PROF,
        Signal::IO,
        Signal::POWER,
        Signal::XCPU,
        Signal::XFSZ,
        Signal::STKFLT,
    ];
    /// Delay between two signals of a series of all kinds.
    const STEP_INTERVAL: Duration = Duration::from_millis(180);
    /// Offsets from SIGRTMIN of the real-time signals in the series.
    const REAL_TIME_OFFSETS: [u8; 3] = [0, 15, 30];

    /// Largest number of signals in a random series.
    const MAX_RANDOM_LENGTH: usize = 12;
    /// Delay between two signals of a random series, in milliseconds.
    const GAP_MS: std::ops::Range<u64> = 0..400;

    /// Creates a series of one signal.
    pub(crate) fn single(signal: Signal) -> Self {
        Self(vec![(Duration::ZERO, SentSignal::Named(signal))])
    }

    /// Draws a random series. Half of the series may contain signals that request a stop; half of
    /// these begin with SIGTERM.
    pub(crate) fn random(rng: &mut StdRng) -> Self {
        let may_stop = rng.random_bool(0.5);
        let random_step = |rng: &mut StdRng| {
            let gap = Duration::from_millis(rng.random_range(Self::GAP_MS));
            let kinds = Self::all_signals();
            let kinds: Vec<_> = kinds
                .filter(|kind| may_stop || !kind.requests_stop())
                .collect();
            (gap, kinds[rng.random_range(0..kinds.len())])
        };
        let count = rng.random_range(1..=Self::MAX_RANDOM_LENGTH);
        let mut steps: Vec<_> = (0..count).map(|_| random_step(rng)).collect();
        if may_stop && rng.random_bool(0.5) {
            steps[0].1 = SentSignal::Named(Signal::TERM);
        }
        Self(steps)
    }

    /// Creates a series with every signal once, starting with the signal at index `first` modulo
    /// their number.
    pub(crate) fn all_kinds(first: usize) -> Self {
        let mut kinds: Vec<_> = Self::all_signals().collect();
        let first = first % kinds.len();
        kinds.rotate_left(first);
        let steps = kinds.into_iter().map(|kind| (Self::STEP_INTERVAL, kind));
        Self(steps.collect())
    }

    fn all_signals() -> impl Iterator<Item = SentSignal> {
        let named = Self::TERMINATING_SIGNALS.map(SentSignal::Named);
        let real_time = Self::REAL_TIME_OFFSETS.map(SentSignal::RealTime);
        named.into_iter().chain(real_time)
    }
}
