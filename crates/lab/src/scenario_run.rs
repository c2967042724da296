//! Running of one scenario.

use crate::prelude::*;

/// A scenario with its seed.
pub(crate) struct ScenarioRun<'a> {
    plan: &'a ScenarioPlan,
    seed: u64,
}

impl<'a> ScenarioRun<'a> {
    /// Interval at which instances are observed.
    const OBSERVE_INTERVAL: Duration = Duration::from_millis(10);
    /// Longest wait for the last requests' ends.
    const TAIL: Duration = Duration::from_secs(4);
    /// Time after the last request's end in which a late run would show.
    const LATE_RUNS: Duration = Duration::from_millis(300);

    /// Run of `plan` with the load that `seed` gives.
    pub(crate) fn new(plan: &'a ScenarioPlan, seed: u64) -> Self {
        Self { plan, seed }
    }

    /// Runs the scenario and takes its figures.
    pub(crate) async fn measure(&self) -> eyre::Result<MeasuredFigures> {
        let plan = self.plan;
        let mut injector = FaultInjector::new(TestCluster::start(&plan.bench).await?);
        let reference = StraightServers::start(&plan.bench.services).await?;
        let pool = WorkerPool::start("callers", 2)?;
        let path = match plan.naive {
            true => CallerPath::Straight(reference.sender(StraightChoice::Naive)),
            false => CallerPath::Instances(injector.bench.directory.clone()),
        };
        let load = CallerLoad::new(pool.clone(), path);
        let calls = plan.load.schedule(&plan.bench.services, self.seed);
        let start = SteadyClock.now();
        let settled = start.after(ScenarioPlan::SETTLE);
        let (sent, expected) = (load.clone(), calls.len());
        let to_send = calls.clone();
        pool.spawn(async move { sent.run(to_send, start).await });
        let mut observer = RevisionObserver::default();
        self.observe(&mut observer, &injector.bench, settled).await;
        let usage = ResourceUsage::of(&injector.bench);
        for (at, event) in &plan.events {
            let bench = &injector.bench;
            self.observe(&mut observer, bench, start.after(*at)).await;
            injector.apply(*event).await?;
        }
        let end = start.after(plan.load.length);
        self.observe(&mut observer, &injector.bench, end).await;
        let used = ResourceUsage::of(&injector.bench).since(&usage);
        let latest = end.after(Self::TAIL);
        while load.records().len() < expected && SteadyClock.now() < latest {
            let next = SteadyClock.now().after(Self::OBSERVE_INTERVAL * 10);
            self.observe(&mut observer, &injector.bench, next).await;
        }
        Timer::after(Self::LATE_RUNS).await;
        let bench = &injector.bench;
        let straight = match plan.naive {
            true => Vec::new(),
            false => reference.measure(plan, &pool, calls, bench).await,
        };
        let ledger = match plan.naive {
            true => &reference.ledger,
            false => &bench.ledger,
        };
        let there = |server: &&ServerStandin| {
            server.started() <= start && !injector.notes.gone.contains(server.name())
        };
        let stays = match plan.naive {
            true => &reference.servers,
            false => &bench.servers,
        };
        let builder = FigureBuilder {
            plan,
            start,
            records: load.records(),
            straight,
            runs: ledger.runs(),
            parts: bench.store.part_history(),
            servers: stays
                .iter()
                .filter(there)
                .map(|server| server.name().clone())
                .collect(),
            notes: &injector.notes,
        };
        let mut figures = builder.figures(self.seed);
        let counts = ledger.counts();
        figures.two_owners = counts.two_owners;
        figures.over_slots = counts.over_slots;
        figures.over_connections = counts.over_connections;
        figures.reverted = observer.reverted() + injector.notes.lost_races;
        figures.store_calls_per_s = used.store_calls_per_s();
        if plan.changes_configuration() {
            let times = observer.in_force(bench, settled);
            figures.in_force_ms = Some(SpreadFigures::of(times));
        }
        if plan.load.percent.iter().all(|(_, percent)| *percent == 0.0) {
            figures.control_bytes_per_s = Some(used.bytes_per_s(bench.instances.len()));
            figures.processor_ms_per_s = Some(used.processor_ms_per_s(bench.instances.len()));
        }
        pool.stop();
        Ok(figures)
    }

    /// Observes the instances until a time.
    async fn observe(&self, observer: &mut RevisionObserver, bench: &TestCluster, until: MonoTime) {
        loop {
            observer.observe(bench);
            let left = until.since(SteadyClock.now());
            if left.is_zero() {
                return;
            }
            Timer::after(left.min(Self::OBSERVE_INTERVAL)).await;
        }
    }
}
