//! Signals that a process takes, and what each asks of it.

use crate::prelude::*;
use async_signal::Signal;
use nix::sys::signal::SigSet;
use signal_hook::consts::signal::*;

/// A signal that was sent to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProcessSignal(i32);

/// Where a process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessPhase {
    /// It takes no work yet.
    Starting,
    /// It takes work.
    Running,
    /// It finishes what it has taken.
    Stopping,
}

/// What to do about a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// Begin a graceful stop.
    BeginStop,
    /// Log that a reload was asked for; settings are read at the start only.
    Reload,
    /// Nothing.
    Ignore,
}

impl ProcessSignal {
    /// Signals that interrupt a wait, as both libraries name them: those whose default action ends a
    /// process. `SIGPIPE` is left out, which the standard library ignores.
    const WAKING: [(Signal, i32); 12] = [
        (Signal::Hup, SIGHUP),
        (Signal::Int, SIGINT),
        (Signal::Quit, SIGQUIT),
        (Signal::Usr1, SIGUSR1),
        (Signal::Usr2, SIGUSR2),
        (Signal::Alarm, SIGALRM),
        (Signal::Term, SIGTERM),
        (Signal::Xcpu, SIGXCPU),
        (Signal::Xfsz, SIGXFSZ),
        (Signal::Vtalarm, SIGVTALRM),
        (Signal::Prof, SIGPROF),
        (Signal::Io, SIGIO),
    ];
    /// `SIGSTKFLT` and `SIGPWR` (signal(7)).
    const NUMBERED: [i32; 2] = [16, 30];
    /// Real-time signals that the GNU C library leaves to programs (signal(7)).
    const REAL_TIME: std::ops::RangeInclusive<i32> = 34..=64;

    /// All that are taken. Left out are `SIGKILL` and `SIGSTOP`, which cannot be, signals that report
    /// a fault of the program itself, and those that pause it.
    pub(crate) fn taken() -> impl Iterator<Item = Self> {
        let waking = Self::WAKING.into_iter().map(|(_, number)| number);
        let others = Self::NUMBERED.into_iter().chain(Self::REAL_TIME);
        waking.chain(others).map(Self)
    }

    /// Those that interrupt a wait.
    pub(crate) fn waking() -> impl Iterator<Item = Signal> {
        Self::WAKING.into_iter().map(|(signal, _)| signal)
    }

    /// Lets the calling thread, and those that it starts, be interrupted by them.
    pub(crate) fn unblock_waking() -> io::Result<()> {
        let mut set = SigSet::empty();
        for (_, number) in Self::WAKING {
            set.add(nix::sys::signal::Signal::try_from(number)?);
        }
        Ok(set.thread_unblock()?)
    }

    /// Number by which the system knows it.
    pub(crate) fn number(self) -> i32 {
        self.0
    }
}

impl Display for ProcessSignal {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match signal_hook::low_level::signal_name(self.0) {
            Some(name) => formatter.write_str(name),
            None => write!(formatter, "SIG{}", self.0),
        }
    }
}

impl ProcessPhase {
    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Stopping => "stopping",
        }
    }

    /// What a signal leads to. A stop has bounds of its own, so that no signal shortens it.
    pub fn action(self, signal: ProcessSignal) -> SignalAction {
        match (self, signal.0) {
            (Self::Stopping, _) => SignalAction::Ignore,
            (Self::Starting | Self::Running, SIGTERM | SIGINT | SIGQUIT) => SignalAction::BeginStop,
            (Self::Starting | Self::Running, SIGHUP) => SignalAction::Reload,
            (Self::Starting | Self::Running, _) => SignalAction::Ignore,
        }
    }
}

impl SignalAction {
    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::BeginStop => "stop",
            Self::Reload => "reload",
            Self::Ignore => "none",
        }
    }
}
