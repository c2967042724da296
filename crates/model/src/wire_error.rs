//! Fault in a stored or received value.

use crate::prelude::*;

/// A field that could not be read, with what was expected in its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    field: &'static str,
    found: String,
    expected: &'static str,
}

impl WireError {
    /// Longest excerpt of a faulty value, in characters.
    const EXCERPT_CHARS: usize = 80;

    /// Fault in `field`.
    pub fn new(field: &'static str, found: &str, expected: &'static str) -> Self {
        Self {
            field,
            found: found.chars().take(Self::EXCERPT_CHARS).collect(),
            expected,
        }
    }
}

impl Display for WireError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(
            f,
            "{}: found `{}`, expected {}",
            self.field, self.found, self.expected
        )
    }
}

impl std::error::Error for WireError {}
