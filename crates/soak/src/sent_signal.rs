//! One signal to one process.

use rustix::process::{Pid, Signal, kill_process};
use std::process::{Child, Command};

/// A signal that the soak sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SentSignal {
    /// One with a name.
    Named(Signal),
    /// A real-time signal, counted from the first.
    RealTime(u8),
}

impl SentSignal {
    /// Whether it asks for a stop.
    pub(crate) fn requests_stop(self) -> bool {
        let stop_signals = [Signal::TERM, Signal::INT, Signal::QUIT];
        matches!(self, Self::Named(signal) if stop_signals.contains(&signal))
    }

    /// Sends it to a child that has not been waited for.
    pub(crate) fn send(self, child: &Child) -> std::io::Result<()> {
        match self {
            Self::Named(signal) => match Pid::from_raw(child.id() as i32) {
                Some(pid) => Ok(kill_process(pid, signal)?),
                None => Ok(()),
            },
            // The library has no safe name for these.
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
