//! What one run plays.

use crate::prelude::*;

/// Plans made in this process.
static PLAN_COUNT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);

/// Size, times and seed of a run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Program of the instances.
    pub daemon_path: PathBuf,
    /// Folder of the instances' logs.
    pub log_dir: PathBuf,
    /// Instances.
    pub instances: usize,
    /// Servers of each of the two main services.
    pub servers: usize,
    /// Callers that send at the same time.
    pub callers: usize,
    /// Time in which faults come.
    pub fault_duration: Duration,
    /// Longest time of a graceful stop.
    pub stop_timeout: Duration,
    /// Which faults come.
    pub scenario: FaultScenario,
    /// Number among the plans of this process, whose runs do not share ports.
    pub run_number: u16,
}

/// Where a run's faults come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScenario {
    /// From the seed.
    Random,
    /// One instance after the other stops while servers leave requests unanswered.
    StopWithUnresponsiveServers,
    /// One instance after the other stops at slow servers and gets all kinds of signals meanwhile.
    SignalsDuringStop,
    /// The store is silent as all watches of the configuration are made again; some time after its
    /// return the configuration changes.
    ChangeAfterStoreOutage,
}

impl SoakPlan {
    /// Most instances: each has a loopback address of its own, and all their links end in one
    /// process.
    pub(crate) const MAX_INSTANCES: usize = 100;
    /// Callers that a run has, and more if it has many instances.
    const MIN_CALLERS: usize = 24;
    /// Callers for each instance.
    const CALLERS_PER_INSTANCE: usize = 2;

    /// Time before the first fault.
    pub(crate) const WARMUP_TIME: Duration = Duration::from_secs(3);
    /// Time after the last fault within which requests must be served again (page on settings:
    /// `recover_s` is 15; the soak asks for less).
    pub(crate) const RECOVERY_TIME: Duration = Duration::from_secs(8);
    /// Time after that in which they are counted.
    pub(crate) const FINAL_WINDOW: Duration = Duration::from_secs(3);
    /// Time after a disturbance from which an instance counts as in touch.
    pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(3);
    /// Time within which a change of the configuration is in force.
    pub(crate) const APPLY_TIME: Duration = Duration::from_secs(2);
    /// Time after its notice from which a leaving server gets nothing new.
    pub(crate) const DRAIN_TIME: Duration = Duration::from_secs(2);
    /// Time after a thaw or the healing of a link in which late grants are excused.
    pub(crate) const DELAYED_GRANT_WINDOW: Duration = Duration::from_millis(300);

    /// Time after its sending from which a request counts as read (`loss_slack_s`, 0.2).
    pub(crate) const LOSS_SLACK: Duration = Duration::from_millis(200);

    /// Plan of a seed in its usual size.
    pub fn new(seed: u64, daemon_path: &Path, log_dir: &Path) -> Self {
        Self {
            seed,
            daemon_path: daemon_path.into(),
            log_dir: log_dir.into(),
            instances: 4,
            servers: 6,
            callers: Self::MIN_CALLERS,
            fault_duration: Duration::from_secs(12),
            stop_timeout: Duration::from_secs(6),
            scenario: FaultScenario::Random,
            run_number: PLAN_COUNT.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Callers of a run with so many instances.
    pub(crate) fn callers_for(instances: usize) -> usize {
        Self::MIN_CALLERS.max(instances * Self::CALLERS_PER_INSTANCE)
    }
}
