//! Signals that the process handles, and the action for each.

use crate::prelude::*;
use async_signal::Signal;
use nix::sys::signal::SigSet;
use signal_hook::consts::signal::*;

/// Number of a signal that the process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProcessSignal(i32);

/// Phase of the process between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessPhase {
    /// The process accepts no work yet.
    Starting,
    /// The process accepts work.
    Running,
    /// The process finishes the work that it has accepted.
    Stopping,
}

/// What the process does when it receives a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// Begin a graceful stop.
    BeginStop,
    /// Log that a reload was requested; settings are read at the start only.
    Reload,
    /// Do nothing.
    Ignore,
}

impl ProcessSignal {
    /// Signals that wake [`SignalReceiver`], as `async-signal` and `signal-hook` name them: those whose
    /// default action ends the process, except `SIGPIPE`, which the standard library ignores.
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
    /// `SIGSTKFLT` and `SIGPWR`, given by number (signal(7)).
    const GIVEN_BY_NUMBER: [i32; 2] = [16, 30];
    /// Real-time signals that the GNU C library leaves to programs (signal(7)).
    const REAL_TIME: std::ops::RangeInclusive<i32> = 34..=64;

    /// All signals that the process handles. Excluded are `SIGKILL` and `SIGSTOP`, which cannot be
    /// handled, signals that report a fault of the program itself, and signals that pause it.
    pub(crate) fn handled() -> impl Iterator<Item = Self> {
        let waking = Self::WAKING.into_iter().map(|(_, number)| number);
        let others = Self::GIVEN_BY_NUMBER.into_iter().chain(Self::REAL_TIME);
        waking.chain(others).map(Self)
    }

    /// Signals that wake [`SignalReceiver`].
    pub(crate) fn waking() -> impl Iterator<Item = Signal> {
        Self::WAKING.into_iter().map(|(signal, _)| signal)
    }

    /// Unblocks the waking signals for the calling thread and the threads that it starts.
    pub(crate) fn unblock_waking() -> io::Result<()> {
        let mut set = SigSet::empty();
        for (_, number) in Self::WAKING {
            set.add(nix::sys::signal::Signal::try_from(number)?);
        }
        Ok(set.thread_unblock()?)
    }

    /// Number of the signal in the operating system.
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
    /// Name of the phase in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Stopping => "stopping",
        }
    }

    /// Action for a signal in this phase. Signals do not shorten a stop, which has its own time limits.
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
    /// Name of the action in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::BeginStop => "stop",
            Self::Reload => "reload",
            Self::Ignore => "none",
        }
    }
}
