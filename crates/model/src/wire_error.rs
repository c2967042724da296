//! Error for a stored or received value that cannot be decoded.

use crate::prelude::*;

/// Decoding error that names the field, an excerpt of the value found and the expected form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    field: &'static str,
    found: String,
    expected: &'static str,
}

impl WireError {
    /// Longest excerpt of an invalid value, in characters.
    const EXCERPT_CHARS: usize = 80;

    /// Creates an error for `field`, which holds `found` instead of a value of the form `expected`.
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
