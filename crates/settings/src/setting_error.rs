//! Errors in settings.

use crate::prelude::*;

/// Invalid or missing setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// Flag or environment variable that gave the value.
    pub source: String,
    /// Rejected value, `None` if the setting is missing.
    pub value: Option<String>,
    /// Accepted values, with their unit.
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
