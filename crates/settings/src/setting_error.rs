//! Findings on settings.

use crate::prelude::*;

/// One faulty setting, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// Flag or variable that gave the value.
    pub source: String,
    /// Value, none when it is missing.
    pub value: Option<String>,
    /// What was expected, with its unit.
    pub expected: String,
}

impl Display for SettingError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match &self.value {
            Some(value) => write!(
                f,
                "{}: value '{value}', expected {}",
                self.source, self.expected
            ),
            None => write!(f, "{}: missing, expected {}", self.source, self.expected),
        }
    }
}
