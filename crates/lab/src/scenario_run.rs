//! Execution of one scenario.

use crate::prelude::*;

/// Scenario that is run with the load of a given seed.
pub(crate) struct ScenarioRun<'a> {
    plan: &'a ScenarioPlan,
    seed: u64,
}

impl<'a> ScenarioRun<'a> {
    /// Interval at which the instances' revisions are read.
    const OBSERVE_INTERVAL: Duration = Duration::from_millis(10);
    /// Time limit for the last requests to end, counted from the end of the load.
    const COMPLETION_TIMEOUT: Duration = Duration::from_secs(4);
    /// Wait after the end of the last request, so that late runs are recorded as well.
    const LATE_RUN_WAIT: Duration = Duration::from_millis(300);

    /// Creates a run of `plan` with the load drawn from `seed`.
    pub(crate) fn new(plan: &'a ScenarioPlan, seed: u64) -> Self {
        Self { plan, seed }
    }

    /// Runs the scenario and returns its figures.
    pub(crate) async fn measure(&self) -> eyre::Result<MeasuredFigures> {
        let plan = self.plan;
        let mut injector = FaultInjector::new(TestCluster::start(&plan.cluster).await?);
        let reference = DirectServers::start(&plan.cluster.services).await?;
        let pool = WorkerPool::start("callers", 2)?;
        let path = match plan.is_baseline {
            true => CallerPath::Direct(reference.sender(ServerSelection::ByKeyHash)),
            false => CallerPath::Instances(injector.cluster.balancer.clone()),
        };
        let load = CallerLoad::new(pool.clone(), path);
        let calls = plan.load.schedule(&plan.cluster.services, self.seed);
        let start = SteadyClock.now();
        let settled_at = start.after(ScenarioPlan::SETTLING_TIME);
        let (sent, expected) = (load.clone(), calls.len());
        let to_send = calls.clone();
        pool.spawn(async move { sent.run(to_send, start).await });
        let mut observer = RevisionObserver::default();
        self.observe(&mut observer, &injector.cluster, settled_at)
            .await;
        let usage = ResourceUsage::of(&injector.cluster);
        for (at, event) in &plan.events {
            let cluster = &injector.cluster;
            self.observe(&mut observer, cluster, start.after(*at)).await;
            injector.apply(*event).await?;
        }
        let end = start.after(plan.load.length);
        self.observe(&mut observer, &injector.cluster, end).await;
        let used = ResourceUsage::of(&injector.cluster).since(&usage);
        let deadline = end.after(Self::COMPLETION_TIMEOUT);
        while load.records().len() < expected && SteadyClock.now() < deadline {
            let next = SteadyClock.now().after(Self::OBSERVE_INTERVAL * 10);
            self.observe(&mut observer, &injector.cluster, next).await;
        }
        Timer::after(Self::LATE_RUN_WAIT).await;
        let cluster = &injector.cluster;
        let direct_records = match plan.is_baseline {
            true => Vec::new(),
            false => reference.measure(plan, &pool, calls, cluster).await,
        };
        let ledger = match plan.is_baseline {
            true => &reference.ledger,
            false => &cluster.ledger,
        };
        let was_present = |server: &&SimulatedServer| {
            server.started() <= start && !injector.effects.stopped_servers.contains(server.name())
        };
        let servers = match plan.is_baseline {
            true => &reference.servers,
            false => &cluster.servers,
        };
        let builder = FigureBuilder {
            plan,
            start,
            records: load.records(),
            direct_records,
            runs: ledger.runs(),
            part_history: cluster.store.part_history(),
            servers: servers
                .iter()
                .filter(was_present)
                .map(|server| server.name().clone())
                .collect(),
            effects: &injector.effects,
        };
        let mut figures = builder.build(self.seed);
        let violations = ledger.violations();
        figures.two_owners = violations.two_owners;
        figures.over_slots = violations.over_slots;
        figures.over_connections = violations.over_connections;
        figures.reverted = observer.reverted() + injector.effects.failed_races;
        figures.store_calls_per_s = used.store_calls_per_s();
        if plan.changes_configuration() {
            let times = observer.in_force(cluster, settled_at);
            figures.in_force_ms = Some(DurationSummary::of(times));
        }
        if plan.load.phases.iter().all(|(_, percent)| *percent == 0.0) {
            figures.control_bytes_per_s = Some(used.bytes_per_s(cluster.instances.len()));
            figures.processor_ms_per_s = Some(used.processor_ms_per_s(cluster.instances.len()));
        }
        pool.stop();
        Ok(figures)
    }

    /// Reads the instances' revisions at intervals until `until`.
    async fn observe(
        &self,
        observer: &mut RevisionObserver,
        cluster: &TestCluster,
        until: MonoTime,
    ) {
        loop {
            observer.observe(cluster);
            let left = until.since(SteadyClock.now());
            if left.is_zero() {
                return;
            }
            Timer::after(left.min(Self::OBSERVE_INTERVAL)).await;
        }
    }
}
