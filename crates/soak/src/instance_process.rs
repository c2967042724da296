//! An instance as a process of its own.

use crate::prelude::*;
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::OpenOptions,
    process::{Child, Command, ExitStatus, Stdio},
};

/// One instance over its starts.
pub(crate) struct InstanceProcess {
    pub(crate) number: usize,
    pub(crate) link: Arc<LinkProxy>,
    host: Ipv4Addr,
    /// Added to each port.
    port_offset: u16,
    daemon: PathBuf,
    log: PathBuf,
    grace_time: Duration,
    child: Mutex<Option<Child>>,
    starts: AtomicU64,
    is_stopping: AtomicBool,
}

/// What became of a process that was told to stop.
#[derive(Debug)]
pub(crate) enum StopEnd {
    /// It ended by itself.
    Ended(ExitStatus),
    /// It was killed or replaced meanwhile by another fault.
    Replaced,
    /// It still runs.
    TimedOut,
}

impl InstanceProcess {
    const CALLER_PORT: u16 = 18_381;
    const READINESS_PORT: u16 = 18_388;
    const OPERATOR_PORT: u16 = 19_464;
    const PEER_PORT: u16 = 17_200;
    const FEED_PORT: u16 = 18_382;
    /// Ports between those of two runs that one process makes at the same time.
    const RUN_PORTS: u16 = 10;

    /// An instance that has not been started, with a link to the store of its own.
    pub(crate) async fn new(
        pool: &Arc<WorkerPool>,
        plan: &SoakPlan,
        number: usize,
        store: SocketAddr,
    ) -> eyre::Result<Arc<Self>> {
        // A loopback address of this process and instance alone, so that fixed ports are free.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let host = Ipv4Addr::new(127, 10 + number as u8, high, low.max(1));
        Ok(Arc::new(Self {
            number,
            link: LinkProxy::start(pool, store).await?,
            host,
            port_offset: plan.run_number % 50 * Self::RUN_PORTS,
            daemon: plan.daemon.clone(),
            log: plan.folder.join(format!("instance-{number}.log")),
            grace_time: plan.grace_time,
            child: Mutex::default(),
            starts: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
        }))
    }

    fn address(&self, port: u16) -> SocketAddr {
        (self.host, port + self.port_offset).into()
    }

    /// Address for callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.address(Self::CALLER_PORT)
    }

    /// Address on which the balancer asks.
    pub(crate) fn readiness_address(&self) -> SocketAddr {
        self.address(Self::READINESS_PORT)
    }

    /// Address of its feed.
    pub(crate) fn feed_address(&self) -> SocketAddr {
        self.address(Self::FEED_PORT)
    }

    /// How often it has been started.
    pub(crate) fn starts(&self) -> u64 {
        self.starts.load(Ordering::SeqCst)
    }

    /// Starts the process, unless it runs.
    pub(crate) fn start(&self, seeds: &str) -> eyre::Result<()> {
        let mut child = self.child.lock().unwrap();
        if child.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let address = |flag: &str, port: u16| format!("--{flag}={}", self.address(port));
        let seconds = |flag: &str, time: Duration| format!("--{flag}={}", time.as_secs_f64());
        let started = Command::new(&self.daemon)
            .arg("gateway")
            .args([
                format!("--name=entry-{}", self.number),
                "--data-centre=dc1".into(),
                address("caller-address", Self::CALLER_PORT),
                address("readiness-address", Self::READINESS_PORT),
                address("operator-address", Self::OPERATOR_PORT),
                address("peer-address", Self::PEER_PORT),
                address("feed-address", Self::FEED_PORT),
                format!("--seed-addresses={seeds}"),
                format!("--store-address={}", self.link.address),
                seconds("stop-timeout-s", self.grace_time),
                seconds("drain-s", SoakPlan::DRAIN_TIME),
                "--retry-slack=40".into(),
            ])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *child = Some(started);
        self.is_stopping.store(false, Ordering::SeqCst);
        self.starts.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.lock().unwrap();
        let pid = child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid
            && let Err(error) = kill_process(pid, signal)
        {
            eprintln!("instance {}: {signal:?} not sent: {error}", self.number);
        }
    }

    /// Kills the process and takes its end in.
    pub(crate) fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let ended = child.kill().and_then(|()| child.wait());
            if let Err(error) = ended {
                eprintln!("instance {}: not ended: {error}", self.number);
            }
        }
    }

    /// Begins a graceful stop; false when it does not run or stops already.
    pub(crate) fn begin_stop(&self) -> bool {
        let runs = self.child.lock().unwrap().is_some();
        if !runs || self.is_stopping.swap(true, Ordering::SeqCst) {
            return false;
        }
        self.signal(Signal::TERM);
        true
    }

    /// Waits for the end of the process that was started as number `start` and told to stop.
    pub(crate) async fn wait_end(&self, start: u64, patience: Duration) -> StopEnd {
        let until = SteadyClock.now().after(patience);
        loop {
            if self.starts() != start {
                return StopEnd::Replaced;
            }
            match self.child.lock().unwrap().as_mut().map(Child::try_wait) {
                None => return StopEnd::Replaced,
                Some(Ok(Some(status))) => return StopEnd::Ended(status),
                Some(Ok(None) | Err(_)) => {}
            }
            if SteadyClock.now() >= until {
                return StopEnd::TimedOut;
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// How the process ended by itself, if it did.
    pub(crate) fn own_end(&self) -> Option<ExitStatus> {
        let mut child = self.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().ok()??;
        *child = None;
        Some(status)
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
