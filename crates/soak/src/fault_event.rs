//! Faults of a run, drawn from its seed.

use crate::prelude::*;
use rustix::process::Signal;

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum StoreFault {
    /// As it should.
    #[default]
    None,
    /// Not at all.
    Silent,
    /// That it does nothing.
    Refusing,
    /// Late by this time.
    Slow(Duration),
    /// Some writes take effect without an answer.
    LosingAnswers,
}

/// One fault. Instances and servers are numbers, taken modulo how many there are.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum FaultEvent {
    /// SIGKILL, and a start after a while.
    Kill(usize, Duration),
    /// SIGKILL of all instances at once.
    KillAll(Duration),
    /// SIGSTOP, and SIGCONT after a while.
    Pause(usize, Duration),
    /// SIGTERM, and a start once it has ended.
    Terminate(usize),
    /// SIGTERM of all instances, in at most eight steps.
    TerminateInTurn,
    /// SIGTERM of one instance after the other, and all kinds of signals while each stops.
    SignalInTurn,
    /// A series of signals, at all instances if none is named.
    Signals(Option<usize>, SignalSeries),
    /// SIGKILL, a start after a while, and a series of signals from the start on.
    StartUnderSignals(usize, Duration, SignalSeries),
    /// The store fails for a while.
    Store(StoreFault, Duration),
    /// The store drops its history.
    Compact,
    /// One instance's link to the store fails for a while.
    StoreLink(usize, ProxyMode, Duration),
    /// A server's link fails for a while.
    ServerLink(usize, ProxyMode, Duration),
    /// A server ends and starts again under its identifier.
    Restart(usize, Duration),
    /// A server ends for good; another one joins.
    Replace(usize),
    /// A server says that it leaves, serves on for a while and ends; another one joins.
    Drain(usize),
    /// A server spoils answers for a while.
    Server(usize, BackendFault, Duration),
    /// The operator moves the probed route.
    Configure,
}

impl FaultEvent {
    /// Shortest and longest pause between two faults, in milliseconds.
    const INTERVAL_MS: std::ops::Range<u64> = 100..2_200;
    /// The same after signals, so that what comes next falls into the series.
    const INTERVAL_AFTER_SIGNALS_MS: std::ops::Range<u64> = 0..600;

    /// Faults of a plan, each with its time after the first.
    pub(crate) fn for_plan(plan: &SoakPlan) -> Vec<(Duration, Self)> {
        match plan.scenario {
            FaultScenario::Random => {
                let mut rng = StdRng::seed_from_u64(plan.seed);
                Self::schedule(&mut rng, plan.fault_duration)
            }
            FaultScenario::StopWithUnresponsiveServers => {
                let servers = plan.servers;
                Self::stops_during_fault(plan, servers, BackendFault::Silent, Self::TerminateInTurn)
            }
            FaultScenario::SignalsDuringStop => {
                // Works for up to 1.2 s, less than a stop waits, so that each has requests in hand.
                let fault = BackendFault::Slow(20);
                Self::stops_during_fault(plan, plan.servers * 2, fault, Self::SignalInTurn)
            }
            FaultScenario::ChangeAfterStoreOutage => {
                // A watch waits for 8 s: those that the first change ends are made again in the
                // silence.
                let silence = Self::Store(StoreFault::Silent, Duration::from_millis(4_500));
                vec![
                    (Duration::ZERO, Self::Configure),
                    (Duration::from_millis(5_000), silence),
                    (Duration::from_millis(12_800), Self::Configure),
                ]
            }
        }
    }

    /// Stops while servers of the main services have a fault.
    fn stops_during_fault(
        plan: &SoakPlan,
        servers: usize,
        fault: BackendFault,
        stops: Self,
    ) -> Vec<(Duration, Self)> {
        let inject_fault = |number| {
            (
                Duration::ZERO,
                Self::Server(number, fault, plan.fault_duration),
            )
        };
        let mut events: Vec<_> = (0..servers).map(inject_fault).collect();
        events.push((Duration::from_millis(500), stops));
        events
    }

    /// Faults of a seed.
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

    fn random(rng: &mut StdRng) -> Self {
        let number = rng.random_range(0..1_000);
        let time = Duration::from_millis(rng.random_range(200..4_000));
        let short = Duration::from_millis(rng.random_range(50..1_500));
        match rng.random_range(0..29) {
            0 | 1 => Self::Kill(number, short),
            2 => Self::KillAll(short),
            3 | 4 => Self::Pause(number, time),
            5 | 6 => Self::Terminate(number),
            7 => Self::TerminateInTurn,
            8 => Self::Signals(Some(number), SignalSeries::single(Signal::HUP)),
            9 => Self::Store(StoreFault::Silent, time),
            10 => Self::Store(StoreFault::Refusing, time),
            11 => Self::Store(StoreFault::Slow(Duration::from_millis(200)), time),
            12 => Self::Store(StoreFault::LosingAnswers, time),
            13 => Self::Compact,
            14 | 15 => Self::StoreLink(number, ProxyMode::random(rng), time),
            16 => Self::ServerLink(number, ProxyMode::random(rng), time),
            17 | 18 => Self::Restart(number, short),
            19 => Self::Replace(number),
            20 => Self::Drain(number),
            21 => Self::Server(number, BackendFault::random(rng), time),
            22 => Self::Configure,
            23 => Self::StartUnderSignals(number, short, SignalSeries::random(rng)),
            24 => Self::Signals(None, SignalSeries::random(rng)),
            _ => Self::Signals(Some(number), SignalSeries::random(rng)),
        }
    }
}
