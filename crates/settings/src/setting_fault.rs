//! Findings on settings.

use crate::prelude::*;

/// One faulty setting, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Flag or variable that gave the value.
    pub place: String,
    /// Value, none when it is missing.
    pub value: Option<String>,
    /// What was expected, with its unit.
    pub expected: String,
}

impl Display for SettingFault {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match &self.value {
            Some(value) => write!(
                f,
                "{}: value '{value}', expected {}",
                self.place, self.expected
            ),
            None => write!(f, "{}: missing, expected {}", self.place, self.expected),
        }
    }
}
