//! Random schedules of faults.

use crate::{prelude::*, server_cuts::CutMode, server_departures::Departure};
use rand::seq::SliceRandom;
use rustix::process::Signal;

impl FaultEvent {
    /// Time between two faults, in milliseconds.
    const INTERVAL_MS: std::ops::Range<u64> = 100..2_200;
    /// Time between a series of signals and the next fault, in milliseconds; short enough that the
    /// fault overlaps with the series.
    const INTERVAL_AFTER_SIGNALS_MS: std::ops::Range<u64> = 0..600;

    /// Draws random faults for a period of the given duration.
    pub(crate) fn schedule(rng: &mut StdRng, duration: Duration) -> Vec<(Duration, Self)> {
        let mut at = Duration::ZERO;
        let mut events = Vec::new();
        loop {
            let pause = match events.last() {
                Some((_, Self::Signals(..) | Self::StartUnderSignals(..))) => {
                    Self::INTERVAL_AFTER_SIGNALS_MS
                }
                _ => Self::INTERVAL_MS,
            };
            at += Duration::from_millis(rng.random_range(pause));
            if at >= duration {
                return events;
            }
            events.push((at, Self::random(rng)));
        }
    }

    /// Draws servers that name limits, which may overlap with any other fault.
    pub(crate) fn limits(rng: &mut StdRng, duration: Duration) -> Vec<(Duration, Self)> {
        /// Largest number of limits in one run.
        const MAX_LIMITS: usize = 3;
        /// Duration of a limit, in milliseconds.
        const LIMIT_MS: std::ops::Range<u64> = 4_000..10_000;
        let count = rng.random_range(0..=MAX_LIMITS);
        (0..count)
            .map(|_| {
                let at = duration.mul_f64(rng.random_range(0.0..1.0));
                let number = rng.random_range(0..1_000);
                let limit_time = Duration::from_millis(rng.random_range(LIMIT_MS));
                (at, Self::Limit(number, rng.random_range(1..12), limit_time))
            })
            .collect()
    }

    /// Draws requests that crash servers, instances that lose the servers, and notices of servers.
    pub(crate) fn further_faults(rng: &mut StdRng, plan: &SoakPlan) -> Vec<(Duration, Self)> {
        /// Largest number of these faults in one run.
        const MAX_FAULTS: usize = 3;
        /// Duration of one of them, in milliseconds.
        const FAULT_MS: std::ops::Range<u64> = 3_000..9_000;
        let count = rng.random_range(0..=MAX_FAULTS);
        let mut draw = |poison| {
            let at = plan.fault_duration.mul_f64(rng.random_range(0.0..1.0));
            let number = rng.random_range(0..1_000);
            let duration = Duration::from_millis(rng.random_range(FAULT_MS));
            let kinds = RequestKind::SENT_BY_CALLERS;
            let event = match rng.random_range(0..4) {
                0 => Self::Poison(poison, kinds[number % kinds.len()], duration),
                1 => {
                    let count = rng.random_range(1..plan.instances.max(2));
                    let mode = CutMode::ALL[rng.random_range(0..CutMode::ALL.len())];
                    Self::ServerCut(number, count, mode, duration)
                }
                2 => Self::Depart(number, Departure::Announced),
                _ => Self::Rest(number, duration),
            };
            (at, event)
        };
        (0..count).map(&mut draw).collect()
    }

    /// Draws two periods in which servers with keys leave orders unanswered: all of them in one, and
    /// some of them in the other.
    pub(crate) fn unanswered_orders(plan: &SoakPlan) -> Vec<(Duration, Self)> {
        /// Length of a period, in milliseconds.
        const PERIOD_MS: std::ops::Range<u64> = 1_000..3_500;
        let rng = &mut StdRng::seed_from_u64(plan.seed);
        let some = rng.random_range(1..plan.servers.max(2));
        let mut counts = [plan.servers, some];
        counts.shuffle(rng);
        let mut events = Vec::new();
        for (period, count) in counts.into_iter().enumerate() {
            let at = plan.fault_duration.mul_f64(0.5) * period as u32;
            let length = Duration::from_millis(rng.random_range(PERIOD_MS));
            let first = rng.random_range(0..plan.servers);
            events.extend((0..count).map(|step| {
                let number = plan.servers + (first + step) % plan.servers;
                (at, Self::Server(number, BackendFault::SilentOrders, length))
            }));
        }
        events
    }

    /// Time from a restore of the store to the next copy, in milliseconds.
    pub(crate) const RESTORE_PAUSE_MS: std::ops::Range<u64> = 1_000..5_000;
    /// The same, long enough that all keys are served again meanwhile.
    pub(crate) const LONG_RESTORE_PAUSE_MS: std::ops::Range<u64> = 6_000..8_000;

    /// Draws restores of the store from older copies, all through the run of a plan.
    pub(crate) fn restores(
        rng: &mut StdRng,
        plan: &SoakPlan,
        pause_ms: std::ops::Range<u64>,
    ) -> Vec<(Duration, Self)> {
        let mut events = Vec::new();
        let mut at = Duration::from_millis(rng.random_range(500..2_000));
        while at < plan.fault_duration {
            let drill = RestoreDrill::random(rng);
            let pause = Duration::from_millis(rng.random_range(pause_ms.clone()));
            let ends_at = at + drill.duration();
            events.push((at, Self::Restore(drill)));
            at = ends_at + pause;
        }
        events
    }

    /// Draws outages of the store, each with servers with keys that start again within a renewal
    /// interval of their grants.
    pub(crate) fn restarts_in_outages(rng: &mut StdRng, plan: &SoakPlan) -> Vec<(Duration, Self)> {
        /// Duration of an outage, in milliseconds.
        const OUTAGE_MS: std::ops::Range<u64> = 3_000..6_000;
        /// Time from the end of an outage to the next one, in milliseconds.
        const PAUSE_MS: std::ops::Range<u64> = 2_000..5_000;
        /// Time from the beginning of an outage to the first restart, in milliseconds.
        const FIRST_RESTART_MS: u64 = 1_500;
        /// Time for which a server is down, in milliseconds.
        const DOWNTIME_MS: std::ops::Range<u64> = 20..400;
        let mut at = Duration::ZERO;
        let mut events = Vec::new();
        while at < plan.fault_duration {
            let outage_ms = rng.random_range(OUTAGE_MS);
            let outage = Duration::from_millis(outage_ms);
            events.push((at, Self::Store(StoreFault::Silent, outage)));
            for _ in 0..rng.random_range(1..=3) {
                let delay = rng.random_range(FIRST_RESTART_MS..outage_ms);
                let number = plan.servers + rng.random_range(0..plan.servers);
                let downtime = Duration::from_millis(rng.random_range(DOWNTIME_MS));
                let restart = Self::Restart(number, downtime);
                events.push((at + Duration::from_millis(delay), restart));
            }
            at += outage + Duration::from_millis(rng.random_range(PAUSE_MS));
        }
        events.sort_by_key(|(at, _)| *at);
        events
    }

    /// Draws servers with keys that start again at once and register some time later, while the store
    /// is silent, right after it, and while it answers.
    pub(crate) fn unlisted_restarts(rng: &mut StdRng, plan: &SoakPlan) -> Vec<(Duration, Self)> {
        /// Time from the beginning of an outage to the restart, in milliseconds; outages last for 2 s.
        const DELAY_MS: std::ops::Range<u64> = 100..4_000;
        /// Time from the start of a server to its entry, in milliseconds.
        const ENTRY_DELAY_MS: std::ops::Range<u64> = 500..5_000;
        const OUTAGE: Duration = Duration::from_secs(2);
        const INTERVAL: Duration = Duration::from_millis(5_500);
        let mut at = Duration::from_millis(500);
        let mut events = Vec::new();
        while at < plan.fault_duration {
            events.push((at, Self::Store(StoreFault::Silent, OUTAGE)));
            for _ in 0..2 {
                let delay = Duration::from_millis(rng.random_range(DELAY_MS));
                let number = plan.servers + rng.random_range(0..plan.servers);
                let downtime = Duration::from_millis(rng.random_range(20..200));
                let entry_delay = Duration::from_millis(rng.random_range(ENTRY_DELAY_MS));
                let restart = Self::RestartUnlisted(number, downtime, entry_delay);
                events.push((at + delay, restart));
            }
            at += INTERVAL;
        }
        events.sort_by_key(|(at, _)| *at);
        events
    }

    fn random(rng: &mut StdRng) -> Self {
        let number = rng.random_range(0..1_000);
        let duration = Duration::from_millis(rng.random_range(200..4_000));
        let downtime = Duration::from_millis(rng.random_range(50..1_500));
        match rng.random_range(0..29) {
            0 | 1 => Self::Kill(number, downtime),
            2 => Self::KillAll(downtime),
            3 | 4 => Self::Pause(number, duration),
            5 | 6 => Self::Terminate(number),
            7 => Self::TerminateInTurn,
            8 => Self::Signals(Some(number), SignalSeries::single(Signal::HUP)),
            9 => Self::Store(StoreFault::Silent, duration),
            10 => Self::Store(StoreFault::Refusing, duration),
            11 => Self::Store(StoreFault::Slow(Duration::from_millis(200)), duration),
            12 => Self::Store(StoreFault::LosingAnswers, duration),
            13 => Self::Compact,
            14 | 15 => Self::StoreLink(number, ProxyMode::random(rng), duration),
            16 => Self::ServerLink(number, ProxyMode::random(rng), duration),
            17 | 18 => Self::Restart(number, downtime),
            19 => Self::Depart(number, Departure::Crashed),
            20 => Self::Depart(number, Departure::Drained),
            21 => Self::Server(number, BackendFault::random(rng), duration),
            22 => Self::Configure,
            23 => Self::StartUnderSignals(number, downtime, SignalSeries::random(rng)),
            24 => Self::Signals(None, SignalSeries::random(rng)),
            _ => Self::Signals(Some(number), SignalSeries::random(rng)),
        }
    }
}
