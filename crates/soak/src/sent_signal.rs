//! Signals that the soak sends to processes.

use rustix::process::{Pid, Signal, kill_process};
use std::process::{Child, Command};

/// Signal to send to an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SentSignal {
    /// Standard signal.
    Named(Signal),
    /// Real-time signal, as its offset from SIGRTMIN.
    RealTime(u8),
}

impl SentSignal {
    /// Whether the signal requests a graceful stop.
    pub(crate) fn requests_stop(self) -> bool {
        let stop_signals = [Signal::TERM, Signal::INT, Signal::QUIT];
        matches!(self, Self::Named(signal) if stop_signals.contains(&signal))
    }

    /// Sends the signal to a child process that has not been waited for.
    pub(crate) fn send(self, child: &Child) -> std::io::Result<()> {
        match self {
            Self::Named(signal) => match Pid::from_raw(child.id() as i32) {
                Some(pid) => Ok(kill_process(pid, signal)?),
                None => Ok(()),
            },
            // rustix offers no safe way to name real-time signals.
            Self::RealTime(number) => {
                let name = format!("RTMIN+{number}");
                let sent = Command::new("kill")
                    .args(["-s", &name, &child.id().to_string()])
                    .status()?;
                match sent.success() {
                    true => Ok(()),
                    false => Err(std::io::Error::other(format!("kill -s {name}: {sent}"))),
                }
            }
        }
    }
}
