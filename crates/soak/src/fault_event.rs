//! Faults to inject and the schedule of a run.

use crate::{prelude::*, server_cuts::CutMode, server_departures::Departure};

/// Fault of the simulated store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum StoreFault {
    /// Answers normally.
    #[default]
    None,
    /// Does not answer.
    Silent,
    /// Rejects each request with status 503.
    Refusing,
    /// Delays each request by this time.
    Slow(Duration),
    /// Applies all writes but leaves some of them unanswered.
    LosingAnswers,
}

/// Fault to inject. The target instance or server is given by a number, taken modulo the number of
/// instances or servers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum FaultEvent {
    /// Kills an instance with SIGKILL and starts it again after the given time.
    Kill(usize, Duration),
    /// Kills all instances at once and starts them again after the given time.
    KillAll(Duration),
    /// Suspends an instance with SIGSTOP and resumes it with SIGCONT after the given time.
    Pause(usize, Duration),
    /// Stops an instance with SIGTERM; it is started again after it has exited.
    Terminate(usize),
    /// Performs a rolling restart of all instances with SIGTERM, in at most eight steps.
    TerminateInTurn,
    /// Stops the instances one at a time with SIGTERM and sends all kinds of signals during each
    /// stop.
    SignalInTurn,
    /// Sends a series of signals to one instance, or to all instances if none is given.
    Signals(Option<usize>, SignalSeries),
    /// Kills an instance, starts it after the given time, and sends a series of signals during its
    /// start.
    StartUnderSignals(usize, Duration, SignalSeries),
    /// Puts the store into a fault state for the given time.
    Store(StoreFault, Duration),
    /// Compacts the change history of the store, which ends watches from older revisions.
    Compact,
    /// Disturbs the link of one instance to the store for the given time.
    StoreLink(usize, ProxyMode, Duration),
    /// Loses the answers to all open calls to the store; new calls are answered.
    LoseStoreAnswers,
    /// Disturbs the link to one server for the given time.
    ServerLink(usize, ProxyMode, Duration),
    /// Crashes a server and starts it again under the same identifier after the given time.
    Restart(usize, Duration),
    /// The same with a server that listens before it registers: its entry follows after the second
    /// time.
    RestartUnlisted(usize, Duration, Duration),
    /// Has another writer register a service that is not named at a server's address, for the given
    /// time.
    ForeignEntry(usize, Duration),
    /// Has another writer keep these entries, which name no server, up to the end of the run.
    KeepForeignEntries(Vec<ForeignEntry>, Duration),
    /// Has a server of the main services leave for good and adds a new one.
    Depart(usize, Departure),
    /// Has a server of the probed services leave for good and adds a new one.
    DepartProbed(usize, Departure),
    /// Puts a server into a fault state for the given time.
    Server(usize, BackendFault, Duration),
    /// Has a server refuse new connections and cut the open ones for the given time, while it works
    /// on, as servers with too many connections do.
    Refuse(usize, Duration),
    /// Has a server name a limit, in requests per second, for the given time.
    Limit(usize, u32, Duration),
    /// Sends a request that crashes each server that begins to execute it, again and again for
    /// the given time.
    Poison(usize, RequestKind, Duration),
    /// Cuts as many instances off from all servers for the given time, starting with the given one.
    ServerCut(usize, usize, CutMode, Duration),
    /// Has a server reject all requests for the given time, which it names.
    Rest(usize, Duration),
    /// Sends an instance as many probes at once.
    Probes(usize, usize),
    /// Restores the store from a copy of itself.
    Restore(RestoreDrill),
    /// Evacuates a data centre for the given time.
    Evacuate(&'static str, Duration),
    /// Publishes a configuration that moves the probed route, adds a route and removes one.
    Configure,
}

impl FaultEvent {
    /// Returns the faults of a plan, each with its time after the start of the injection.
    pub(crate) fn for_plan(plan: &SoakPlan) -> Vec<(Duration, Self)> {
        match plan.scenario {
            FaultScenario::Random => Self::random_faults(plan),
            FaultScenario::RandomBesideRestores => {
                let mut events = Self::random_faults(plan);
                let mut rng = StdRng::seed_from_u64(plan.seed.rotate_left(32));
                events.extend(Self::restores(&mut rng, plan, Self::RESTORE_PAUSE_MS));
                events.sort_by_key(|(at, _)| *at);
                events
            }
            FaultScenario::RandomBesideForeignEntries => Self::beside_foreign_entries(plan),
            FaultScenario::StoreRestores => {
                let mut rng = StdRng::seed_from_u64(plan.seed);
                Self::restores(&mut rng, plan, Self::LONG_RESTORE_PAUSE_MS)
            }
            FaultScenario::RepeatedAnswers => {
                Self::server_faults(plan, plan.servers * 2, BackendFault::Repeating)
            }
            FaultScenario::RepeatedRejections => {
                Self::server_faults(plan, plan.servers * 2, BackendFault::RepeatingRejections)
            }
            FaultScenario::ForeignEntries => {
                let write = |_, number| Self::ForeignEntry(number, Duration::from_millis(1_500));
                Self::keyed_servers_in_turn(plan, Duration::from_millis(500), write)
            }
            FaultScenario::EndlessAnswers => {
                Self::server_faults(plan, plan.servers * 2, BackendFault::Endless)
            }
            FaultScenario::RefusedConnections => {
                let refuse = |_, number| Self::Refuse(number, Duration::from_millis(700));
                Self::keyed_servers_in_turn(plan, Duration::from_secs(1), refuse)
            }
            FaultScenario::PoisonRequests => vec![
                (
                    Duration::ZERO,
                    Self::Poison(1, RequestKind::Lookup, plan.fault_duration),
                ),
                (
                    Duration::from_secs(1),
                    Self::Poison(2, RequestKind::KeyedOrder, plan.fault_duration),
                ),
            ],
            FaultScenario::ServerNotices => {
                let rest = |number| Self::Rest(number, Duration::from_secs(5));
                let leave = |number| Self::Depart(number, Departure::Announced);
                vec![
                    (Duration::ZERO, leave(0)),
                    (Duration::ZERO, rest(1)),
                    (Duration::from_secs(1), rest(plan.servers + 1)),
                    (Duration::from_secs(2), leave(plan.servers)),
                ]
            }
            FaultScenario::UnansweredOrders => Self::unanswered_orders(plan),
            FaultScenario::RestingOwner => {
                vec![(
                    Duration::ZERO,
                    Self::Rest(plan.servers, plan.fault_duration),
                )]
            }
            FaultScenario::ServerCrashes => {
                let crash = |step: u32, number| match step.is_multiple_of(2) {
                    true => Self::Restart(number, Duration::from_millis(700)),
                    false => Self::Depart(number, Departure::Crashed),
                };
                Self::keyed_servers_in_turn(plan, Duration::from_secs(2), crash)
            }
            FaultScenario::RestartsInOutages => {
                Self::restarts_in_outages(&mut StdRng::seed_from_u64(plan.seed), plan)
            }
            FaultScenario::UnlistedRestarts => {
                Self::unlisted_restarts(&mut StdRng::seed_from_u64(plan.seed), plan)
            }
            FaultScenario::Evacuations => Self::evacuations(plan),
            FaultScenario::LostServers => Self::cuts_in_turn(plan),
            FaultScenario::ChangesAtPausedHelpers => Self::changes_at_paused_helpers(plan),
            FaultScenario::ChangesBeside(kind) => Self::changes_beside(plan, kind),
            FaultScenario::NamedLimits => {
                // One server without keys and two with keys.
                let limited = [0, plan.servers, plan.servers + 1];
                let name_limit = |number| {
                    let event = Self::Limit(number, 2, plan.fault_duration);
                    (Duration::ZERO, event)
                };
                limited.into_iter().map(name_limit).collect()
            }
            FaultScenario::StopWithUnresponsiveServers => {
                let servers = plan.servers;
                Self::stops_during_fault(plan, servers, BackendFault::Silent, Self::TerminateInTurn)
            }
            FaultScenario::SignalsDuringStop => {
                // The servers take up to 1.2 s per request, less than the time for which a stopping
                // instance waits, so each instance has requests in progress when it stops.
                let fault = BackendFault::Slow(20);
                Self::stops_during_fault(plan, plan.servers * 2, fault, Self::SignalInTurn)
            }
            FaultScenario::ChangeAfterStoreOutage => {
                // The first change ends all watches. The next ones wait for 8 s, so the instances
                // renew them while the store does not answer.
                let outage = Self::Store(StoreFault::Silent, Duration::from_millis(4_500));
                vec![
                    (Duration::ZERO, Self::Configure),
                    (Duration::from_millis(5_000), outage),
                    (Duration::from_millis(12_800), Self::Configure),
                ]
            }
            FaultScenario::ChangeAfterLostWatches => {
                // The first change of each round ends all watches, which are renewed together.
                let round = |start_ms: u64| {
                    let events = [
                        (0, Self::Configure),
                        (1_000, Self::LoseStoreAnswers),
                        (1_300, Self::Depart(0, Departure::Drained)),
                        (1_600, Self::Configure),
                    ];
                    events.map(|(ms, event)| (Duration::from_millis(start_ms + ms), event))
                };
                [round(0), round(11_000)].concat()
            }
        }
    }

    fn random_faults(plan: &SoakPlan) -> Vec<(Duration, Self)> {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let mut events = Self::schedule(&mut rng, plan.fault_duration);
        events.extend(Self::limits(&mut rng, plan.fault_duration));
        // Drawn apart, so that the schedules of earlier seeds stay as they were.
        let mut rng = StdRng::seed_from_u64(!plan.seed);
        events.extend(Self::further_faults(&mut rng, plan));
        events.sort_by_key(|(at, _)| *at);
        events
    }

    /// Keeps entries of another writer beside random faults, and kills all instances several times.
    fn beside_foreign_entries(plan: &SoakPlan) -> Vec<(Duration, Self)> {
        /// Largest number of times that all instances are killed.
        const MAX_KILLS: usize = 3;
        /// Time until they are started again, in milliseconds.
        const DOWNTIME_MS: std::ops::Range<u64> = 100..900;
        let mut rng = StdRng::seed_from_u64(plan.seed.rotate_left(16));
        let mut events = Self::random_faults(plan);
        let entries = ForeignEntry::draw(&mut rng);
        let kept = Self::KeepForeignEntries(entries, plan.fault_duration);
        events.push((Duration::ZERO, kept));
        for _ in 0..rng.random_range(1..=MAX_KILLS) {
            let at = plan.fault_duration.mul_f64(rng.random_range(0.2..1.0));
            let downtime = Duration::from_millis(rng.random_range(DOWNTIME_MS));
            events.push((at, Self::KillAll(downtime)));
        }
        events.sort_by_key(|(at, _)| *at);
        events
    }

    /// Cuts instances off from the servers in each way: each alone at first, then all but one.
    fn cuts_in_turn(plan: &SoakPlan) -> Vec<(Duration, Self)> {
        const CUT_TIME: Duration = Duration::from_secs(8);
        const PAUSE: Duration = Duration::from_secs(4);
        let alone = (0..plan.instances).map(|first| (first, 1));
        let cuts = alone.chain([(0, plan.instances - 1)]);
        let modes = CutMode::ALL.into_iter().cycle();
        let cuts = cuts.zip(modes).enumerate();
        cuts.map(|(step, ((first, count), mode))| {
            let at = (CUT_TIME + PAUSE) * step as u32;
            (at, Self::ServerCut(first, count, mode, CUT_TIME))
        })
        .collect()
    }

    /// Puts servers of the main services into a fault state and stops instances meanwhile.
    fn stops_during_fault(
        plan: &SoakPlan,
        servers: usize,
        fault: BackendFault,
        stops: Self,
    ) -> Vec<(Duration, Self)> {
        let mut events = Self::server_faults(plan, servers, fault);
        events.push((Duration::from_millis(500), stops));
        events
    }

    /// Has one server with keys after the other get an event, at an interval; `event` makes it from its
    /// number in the run and the server.
    fn keyed_servers_in_turn(
        plan: &SoakPlan,
        interval: Duration,
        event: impl Fn(u32, usize) -> Self,
    ) -> Vec<(Duration, Self)> {
        let count = plan.fault_duration.as_millis() / interval.as_millis();
        let at_step = |step: u32| {
            let number = plan.servers + step as usize % plan.servers;
            (interval * step, event(step, number))
        };
        (0..count as u32).map(at_step).collect()
    }

    /// Puts the first `servers` servers of the main services into a fault state for the whole run.
    fn server_faults(
        plan: &SoakPlan,
        servers: usize,
        fault: BackendFault,
    ) -> Vec<(Duration, Self)> {
        let inject_fault = |number| {
            let event = Self::Server(number, fault, plan.fault_duration);
            (Duration::ZERO, event)
        };
        (0..servers).map(inject_fault).collect()
    }
}
