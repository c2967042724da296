//! Gateway instance that runs as a separate process.

use crate::{instance_guard::InstanceGuard, prelude::*};
use std::{
    fs::OpenOptions,
    process::{Child, Command, ExitStatus},
};

/// One instance with the processes that are started for it one after the other.
pub(crate) struct InstanceProcess {
    pub(crate) number: usize,
    pub(crate) store_link: Arc<LinkProxy>,
    host: Ipv4Addr,
    /// Offset added to each port, so that concurrent runs of one process do not share ports.
    port_offset: u16,
    daemon_path: PathBuf,
    log_path: PathBuf,
    stop_timeout: Duration,
    /// Whether the simulated platform has evacuations.
    has_evacuations: bool,
    /// Whether the instance keeps the bound on requests to cold servers.
    keeps_cold_bound: bool,
    process: Mutex<Option<RunningProcess>>,
    start_count: AtomicU64,
}

/// Process that runs, or has exited without having been waited for.
struct RunningProcess {
    child: Child,
    guard: Option<InstanceGuard>,
    started_at: MonoTime,
    /// Length of the log file when the process was started, in bytes.
    log_start: usize,
    /// Time of the first signal that requested a stop.
    stop_requested_at: Option<MonoTime>,
}

impl InstanceProcess {
    const CALLER_PORT: u16 = 18_381;
    const READINESS_PORT: u16 = 18_388;
    const OPERATOR_PORT: u16 = 19_464;
    const PEER_PORT: u16 = 17_200;
    const FEED_PORT: u16 = 18_382;
    const RELAY_PORT: u16 = 17_205;
    /// Distance between the ports of two concurrent runs of one process.
    const PORTS_PER_RUN: u16 = 10;

    /// Creates an instance that is not started yet, with its own link to the store.
    pub(crate) async fn new(
        pool: &Arc<WorkerPool>,
        plan: &SoakPlan,
        number: usize,
        store: SocketAddr,
    ) -> eyre::Result<Arc<Self>> {
        // Each process and instance uses its own loopback address, so the fixed ports are free.
        let hosts = LoopbackHosts::of_process();
        let run = plan.run_number % SoakPlan::MAX_CONCURRENT_RUNS;
        Ok(Arc::new(Self {
            number,
            store_link: LinkProxy::start(pool, hosts.platform(plan), store).await?,
            host: hosts.instance(number),
            port_offset: run * Self::PORTS_PER_RUN,
            daemon_path: plan.daemon_path.clone(),
            log_path: plan.log_dir.join(format!("instance-{number}.log")),
            stop_timeout: plan.stop_timeout,
            has_evacuations: plan.scenario == FaultScenario::Evacuations,
            keeps_cold_bound: !plan.cold_time.is_zero(),
            process: Mutex::default(),
            start_count: AtomicU64::new(0),
        }))
    }

    fn address(&self, port: u16) -> SocketAddr {
        (self.host, port + self.port_offset).into()
    }

    /// Settings for the bound on requests to cold servers, which are empty without one.
    fn warmup_arguments(&self) -> [String; 2] {
        let bound = self.keeps_cold_bound.then_some(SoakPlan::WARMUP_BOUND);
        let value = |value: Option<f64>| value.map(|value| value.to_string()).unwrap_or_default();
        [
            format!(
                "--warmup-overage={}",
                value(bound.map(|bound| bound.overage))
            ),
            format!("--warmup-slack={}", value(bound.map(|bound| bound.slack))),
        ]
    }

    /// Address that accepts requests of callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.address(Self::CALLER_PORT)
    }

    /// Address that answers readiness checks.
    pub(crate) fn readiness_address(&self) -> SocketAddr {
        self.address(Self::READINESS_PORT)
    }

    /// Address of the feed, which the other instances use as a seed address.
    pub(crate) fn feed_address(&self) -> SocketAddr {
        self.address(Self::FEED_PORT)
    }

    /// Identifier of the running process.
    pub(crate) fn process_id(&self) -> Option<u32> {
        let process = self.process.lock().unwrap();
        process.as_ref().map(|process| process.child.id())
    }

    /// Most memory that the running process has used, in KB.
    pub(crate) fn peak_memory_kb(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.process_id()?);
        let status = std::fs::read_to_string(path).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Number of processes started so far.
    pub(crate) fn start_count(&self) -> u64 {
        self.start_count.load(Ordering::SeqCst)
    }

    /// Starts a process unless one is running.
    pub(crate) fn start(&self, seeds: &str) -> eyre::Result<()> {
        let mut process = self.process.lock().unwrap();
        if process.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let address = |flag: &str, port: u16| format!("--{flag}={}", self.address(port));
        let seconds = |flag: &str, time: Duration| format!("--{flag}={}", time.as_secs_f64());
        let log_start = log.metadata()?.len() as usize;
        let mut child = Command::new(&self.daemon_path)
            .arg("gateway")
            .args([
                format!("--name=entry-{}", self.number),
                "--data-centre=dc1".into(),
                address("caller-address", Self::CALLER_PORT),
                address("readiness-address", Self::READINESS_PORT),
                address("operator-address", Self::OPERATOR_PORT),
                address("peer-address", Self::PEER_PORT),
                address("feed-address", Self::FEED_PORT),
                address("relay-address", Self::RELAY_PORT),
                format!("--seed-addresses={seeds}"),
                format!("--store-address={}", self.store_link.address),
                seconds("stop-timeout-s", self.stop_timeout),
                seconds("drain-s", SoakPlan::DRAIN_TIME),
                "--retry-slack=40".into(),
            ])
            .args(
                self.has_evacuations
                    .then(|| seconds("evacuate-s", SoakPlan::EVACUATE_TIME)),
            )
            .args(self.warmup_arguments())
            .stdin(LoopbackHosts::of_process().hold()?)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let guard = InstanceGuard::start(child.id()).inspect_err(|_| {
            let _ = child.kill();
        })?;
        *process = Some(RunningProcess {
            child,
            guard: Some(guard),
            started_at: SteadyClock.now(),
            log_start,
            stop_requested_at: None,
        });
        self.start_count.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    /// Sends a signal to the process, if one is running.
    pub(crate) fn signal(&self, signal: SentSignal) {
        let mut process = self.process.lock().unwrap();
        let Some(process) = process.as_mut() else {
            return;
        };
        if signal.requests_stop() {
            process.stop_requested_at.get_or_insert(SteadyClock.now());
        }
        if let Err(error) = signal.send(&process.child) {
            eprintln!(
                "instance {}: failed to send signal {signal:?}: {error}",
                self.number
            );
        }
    }

    /// Whether a process is running that was not requested to stop.
    pub(crate) fn is_stoppable(&self) -> bool {
        let process = self.process.lock().unwrap();
        process
            .as_ref()
            .is_some_and(|process| process.stop_requested_at.is_none())
    }

    /// Waits until a process was started after process number `start_count`, or a time limit has
    /// passed.
    pub(crate) async fn wait_for_restart(&self, start_count: u64) {
        /// Longest time from an exit to the next start that any fault causes.
        const MAX_DOWN: Duration = Duration::from_secs(5);
        let longest = self.stop_timeout + ProcessExit::STOP_SLACK + MAX_DOWN;
        let until = SteadyClock.now().after(longest);
        while self.start_count() == start_count && SteadyClock.now() < until {
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Kills the process; returns its exit if it had already exited by itself.
    pub(crate) fn kill(&self) -> Option<ProcessExit> {
        let mut process = self.process.lock().unwrap().take()?;
        let status = process.child.try_wait().ok().flatten();
        let exit = self.finish(&mut process, status);
        status.is_some().then_some(exit)
    }

    /// Removes a process that has exited by itself, or whose stop is overdue, and returns its exit.
    pub(crate) fn take_exit(&self) -> Option<ProcessExit> {
        let mut guard = self.process.lock().unwrap();
        let process = guard.as_mut()?;
        let status = process.child.try_wait().ok()?;
        let now = SteadyClock.now();
        let is_overdue = process
            .stop_requested_at
            .is_some_and(|since| ProcessExit::is_overdue(since, now, self.stop_timeout));
        if status.is_none() && !is_overdue {
            return None;
        }
        Some(self.finish(&mut guard.take()?, status))
    }

    /// Returns the exit of a process, after killing it if it has no exit status.
    fn finish(&self, process: &mut RunningProcess, status: Option<ExitStatus>) -> ProcessExit {
        let now = SteadyClock.now();
        if status.is_none() {
            let ended = process.child.kill().and_then(|()| process.child.wait());
            if let Err(error) = ended {
                eprintln!(
                    "instance {}: failed to kill the process: {error}",
                    self.number
                );
            }
        }
        if let Some(guard) = process.guard.take() {
            guard.release();
        }
        ProcessExit {
            status,
            uptime: now.since(process.started_at),
            has_started: self.has_logged_start(process),
            stop_duration: process.stop_requested_at.map(|since| now.since(since)),
            stop_timeout: self.stop_timeout,
        }
    }

    /// Whether the process has logged that it started.
    fn has_logged_start(&self, process: &RunningProcess) -> bool {
        let log = std::fs::read(&self.log_path).unwrap_or_default();
        let own = log.get(process.log_start..).unwrap_or_default();
        String::from_utf8_lossy(own).contains("message=started")
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
