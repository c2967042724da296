//! How a server's life ended.

/// What can be told of one life of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationStatus {
    /// Nothing says that it has ended.
    Lives,
    /// It has ended, and a later life answers at the same address under the same identifier.
    Succeeded,
    /// It has ended, and nothing answers in its name at its address.
    Died,
}

impl IncarnationStatus {
    /// Word for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Lives => "lives",
            Self::Succeeded => "succeeded",
            Self::Died => "died",
        }
    }
}
