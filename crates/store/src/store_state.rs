//! Health of the store as observed by one client.

/// Health of the store according to a client's latest calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum StoreState {
    /// The store responds in time.
    Up = 0,
    /// The store responds slowly.
    Slow = 1,
    /// The store does not respond.
    Down = 2,
    /// The store has not responded to any call yet.
    Unknown = 3,
}

impl StoreState {
    /// Name of the state in dumps.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Slow => "slow",
            Self::Down => "down",
            Self::Unknown => "unknown",
        }
    }
}
