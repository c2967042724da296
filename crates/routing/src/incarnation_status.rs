//! How a server's life ended.

/// What can be told of one life of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationStatus {
    /// Nothing says that it has ended.
    Alive,
    /// It has ended, and a later life answers at the same address under the same identifier.
    Replaced,
    /// It has ended, and nothing answers in its name at its address.
    Dead,
}

impl IncarnationStatus {
    /// Word for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Alive => "lives",
            Self::Replaced => "succeeded",
            Self::Dead => "died",
        }
    }
}
