//! Whether an incarnation of a server has ended.

/// Status of one incarnation of a server, as far as discovery shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationStatus {
    /// No sign that the incarnation has ended.
    Alive,
    /// The incarnation has ended, and a later one of the same server may answer in its place.
    Replaced,
    /// The incarnation has ended, and no later one of the same server answers in its place.
    Dead,
}

impl IncarnationStatus {
    /// Name of the status in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Alive => "lives",
            Self::Replaced => "succeeded",
            Self::Dead => "died",
        }
    }
}
