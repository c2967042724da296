//! Exit codes of the command line.

/// Result of a command, as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded, or the change was already in force.
    Done = 0,
    /// There are findings, or the command was refused; nothing changed.
    Refused = 1,
    /// The command line or a setting is invalid; nothing was attempted.
    Usage = 2,
    /// Another operator's change came first; this change did not take effect.
    LostRace = 3,
    /// The change may or may not have taken effect.
    Unclear = 4,
    /// The store or an instance did not answer; nothing changed.
    Unreachable = 5,
    /// The change was accepted, but is not yet in force on all instances.
    Behind = 6,
}

impl ExitStatus {
    /// Numeric exit code of the process.
    pub fn code(self) -> u8 {
        self as u8
    }
}
