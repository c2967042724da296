//! How a command ended, as its exit code.

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done, or already in force.
    Done = 0,
    /// Findings, or refused; nothing changed.
    Refused = 1,
    /// The command line or a setting is faulty; nothing was tried.
    Usage = 2,
    /// Another operator's change came first; nothing of ours took effect.
    LostRace = 3,
    /// The change may or may not have taken effect.
    Unclear = 4,
    /// The store or an instance gave no answer; nothing changed.
    Unreachable = 5,
    /// The change is accepted, some instances do not have it in force yet.
    Behind = 6,
}

impl ExitStatus {
    /// Code given to the shell.
    pub fn code(self) -> u8 {
        self as u8
    }
}
