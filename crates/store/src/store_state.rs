//! Health of the store as one client sees it.

/// Health by the latest calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum StoreState {
    /// Answers in time.
    Up = 0,
    /// Answers late.
    Slow = 1,
    /// Does not answer.
    Down = 2,
    /// Not called yet.
    Unknown = 3,
}

impl StoreState {
    /// Name in dumps.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Slow => "slow",
            Self::Down => "down",
            Self::Unknown => "unknown",
        }
    }
}
