//! Configuration of one soak run.

use crate::prelude::*;

/// Number of plans created in this process.
static PLAN_COUNT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);

/// Seed, size, durations and fault scenario of one run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Seed of the random faults and of the callers' requests.
    pub seed: u64,
    /// Executable that each instance runs.
    pub daemon_path: PathBuf,
    /// Directory for the logs of the instances; emptied when the run starts.
    pub log_dir: PathBuf,
    /// Number of instances.
    pub instances: usize,
    /// Number of servers in each of the two main services.
    pub servers: usize,
    /// Number of routes that nobody sends requests for, to make the configuration large.
    pub idle_routes: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Duration of the fault injection.
    pub fault_duration: Duration,
    /// Longest duration of a graceful stop of an instance.
    pub stop_timeout: Duration,
    /// Time for which servers are cold after their start; without it the instances keep no bound.
    pub cold_time: Duration,
    /// Which faults are injected.
    pub scenario: FaultScenario,
    /// Sequence number of this plan in the process; concurrent runs use it to avoid sharing ports.
    pub run_number: u16,
}

/// Selects the faults that a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScenario {
    /// Random faults drawn from the seed.
    Random,
    /// The same, beside restores of the store from older copies.
    RandomBesideRestores,
    /// The same, beside entries of another writer that name no server, up to the end of the run, and
    /// kills of all instances at once.
    RandomBesideForeignEntries,
    /// The store is restored from older copies, and nothing else happens.
    StoreRestores,
    /// All instances are stopped in turn while servers leave requests unanswered.
    StopWithUnresponsiveServers,
    /// The instances are stopped one at a time while servers are slow, and each receives all kinds
    /// of signals during its stop.
    SignalsDuringStop,
    /// The store stops answering while the instances renew their configuration watches; the
    /// configuration changes some time after the store has recovered.
    ChangeAfterStoreOutage,
    /// The store's answers to all open calls are lost, and new calls are answered; the configuration
    /// changes and servers drain right after it.
    ChangeAfterLostWatches,
    /// All servers send second copies of earlier answers in place of the expected ones.
    RepeatedAnswers,
    /// All servers reject many requests, and send second copies of these rejections.
    RepeatedRejections,
    /// Another writer registers services that are not named at the addresses of servers with keys.
    ForeignEntries,
    /// Servers with keys refuse connections in turn while they work on.
    RefusedConnections,
    /// Requests crash each server that begins to execute them, and come again.
    PoisonRequests,
    /// Instances lose their connections to all servers, in each way in turn, the leader of the keys
    /// among them.
    LostServers,
    /// All servers send some answers without an end.
    EndlessAnswers,
    /// Servers say in their answers that they leave, before discovery does, or that they want no
    /// requests for some time.
    ServerNotices,
    /// Servers with keys leave all orders unanswered for some seconds: twice, all or some of them.
    UnansweredOrders,
    /// A server with keys wants no requests for a long time.
    RestingOwner,
    /// Servers with keys crash, one every two seconds, half of them for good.
    ServerCrashes,
    /// Servers with keys end and start again at once while the store is silent, as drawn from the seed.
    RestartsInOutages,
    /// Servers that start again at once and register late, beside outages of the store.
    UnlistedRestarts,
    /// Operators evacuate data centres, one and two at a time, while instances are killed.
    Evacuations,
    /// Servers with and without keys name limits on the rate of their requests.
    NamedLimits,
    /// The configuration changes again and again and servers leave, beside faults of one kind that
    /// are drawn from the seed.
    ChangesBeside(NewerKind),
    /// One instance is cut off from all servers, and the configuration changes while two of
    /// those that run its requests are paused for a moment.
    ChangesAtPausedHelpers,
}

impl FaultScenario {
    /// Whether requests for passing routes are sent too.
    pub(crate) fn sends_passing_probes(self) -> bool {
        matches!(self, Self::ChangesBeside(_) | Self::ChangesAtPausedHelpers)
    }
}

impl SoakPlan {
    /// Largest number of instances: each needs its own loopback address, and the connections of
    /// all of them end in this one process.
    pub(crate) const MAX_INSTANCES: usize = 100;
    /// Largest number of runs of one process at the same time.
    pub(crate) const MAX_CONCURRENT_RUNS: u16 = 50;
    /// Smallest number of callers of a run.
    const MIN_CALLERS: usize = 24;
    /// Callers per instance, which applies if it gives more than `MIN_CALLERS`.
    const CALLERS_PER_INSTANCE: usize = 2;

    /// Time from the start of the callers to the first fault.
    pub(crate) const WARMUP_TIME: Duration = Duration::from_secs(3);
    /// Time after the last fault within which requests must be served again. This is stricter than
    /// the documented `recover_s` of 15 s.
    pub(crate) const RECOVERY_TIME: Duration = Duration::from_secs(8);
    /// Time after the recovery during which the ratio of served requests is measured.
    pub(crate) const FINAL_WINDOW: Duration = Duration::from_secs(3);
    /// Time after a disturbance until an instance counts as undisturbed again.
    pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(3);
    /// Longest time until a change of the configuration is in force.
    pub(crate) const APPLY_TIME: Duration = Duration::from_secs(2);
    /// Time after the start of a drain from which the server must not receive new requests.
    pub(crate) const DRAIN_TIME: Duration = Duration::from_secs(2);
    /// Time after the evacuation of a data centre from which its servers must not receive requests.
    pub(crate) const EVACUATE_TIME: Duration = Duration::from_secs(5);
    /// Time after an instance was resumed or a link was repaired during which grants that were
    /// delayed on their way may still arrive.
    pub(crate) const DELAYED_GRANT_WINDOW: Duration = Duration::from_millis(300);

    /// Time after which the instance counts as having read a sent request; the documented
    /// `loss_slack_s` (0.2).
    pub(crate) const LOSS_SLACK: Duration = Duration::from_millis(200);

    /// Requests per second that a cold server should get.
    pub(crate) const COLD_RATE: f64 = 7.3;

    /// Bound on the requests that a cold server gets.
    pub(crate) const WARMUP_BOUND: WarmupBound = WarmupBound {
        overage: 1.5,
        slack: 8.0,
    };

    /// Memory that an instance may use, in KB: what the platform gives it, less a reserve.
    pub(crate) const MAX_MEMORY_KB: u64 = 200 << 10;

    /// Creates a plan of the default size with random faults.
    pub fn new(seed: u64, daemon_path: &Path, log_dir: &Path) -> Self {
        Self {
            seed,
            daemon_path: daemon_path.into(),
            log_dir: log_dir.into(),
            instances: 4,
            servers: 6,
            idle_routes: 0,
            callers: Self::MIN_CALLERS,
            fault_duration: Duration::from_secs(12),
            stop_timeout: Duration::from_secs(6),
            cold_time: Duration::ZERO,
            scenario: FaultScenario::Random,
            run_number: PLAN_COUNT.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Number of callers of a run with `instances` instances.
    pub(crate) fn callers_for(instances: usize) -> usize {
        Self::MIN_CALLERS.max(instances * Self::CALLERS_PER_INSTANCE)
    }
}
