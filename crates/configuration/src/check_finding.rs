//! Faults in declarations, each with its place.

use crate::prelude::*;

/// One fault and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CheckFinding {
    /// File.
    pub file: String,
    /// Line, from 1.
    pub line: Option<usize>,
    /// Column, from 1.
    pub column: Option<usize>,
    /// Path of the field.
    pub field: String,
    /// What was found, empty when the field is missing.
    pub value: String,
    /// What was expected.
    pub expected: String,
}

/// One fault in a set of declarations, whatever file it came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RuleFinding {
    /// Path of the field.
    pub field: String,
    /// What was found, empty when the field is missing.
    pub value: String,
    /// What was expected.
    pub expected: String,
}

impl RuleFinding {
    /// Longest excerpt of a faulty value, in characters.
    const EXCERPT_CHARS: usize = 80;

    /// Fault in `field`.
    pub fn new(field: &str, value: &str, expected: &str) -> Self {
        Self {
            field: field.into(),
            value: value.chars().take(Self::EXCERPT_CHARS).collect(),
            expected: expected.into(),
        }
    }
}

impl Display for RuleFinding {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let found = match self.value.as_str() {
            "" => "nothing".to_string(),
            value => format!("`{value}`"),
        };
        write!(
            f,
            "{}: found {found}, expected {}",
            self.field, self.expected
        )
    }
}

impl CheckFinding {
    /// A finding at a place.
    pub(crate) fn at(file: &str, position: Option<(usize, usize)>, rule: RuleFinding) -> Self {
        Self {
            file: file.into(),
            line: position.map(|(line, _)| line),
            column: position.map(|(_, column)| column),
            field: rule.field,
            value: rule.value,
            expected: rule.expected,
        }
    }

    /// A finding that concerns a whole file.
    pub fn of_file(file: &str, value: &str, expected: &str) -> Self {
        Self::at(file, None, RuleFinding::new("file", value, expected))
    }
}

impl Display for CheckFinding {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.file)?;
        if let (Some(line), Some(column)) = (self.line, self.column) {
            write!(f, ":{line}:{column}")?;
        }
        let rule = RuleFinding::new(&self.field, &self.value, &self.expected);
        write!(f, ": {rule}")
    }
}
