//! Validation findings, with and without a source location.

use crate::prelude::*;

/// Validation finding with its location in a file of declarations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CheckFinding {
    /// Name of the file.
    pub file: String,
    /// Line number, starting at 1.
    pub line: Option<usize>,
    /// Column number, starting at 1.
    pub column: Option<usize>,
    /// Path of the invalid field, such as `service.reports.server[0].slots`.
    pub field: String,
    /// Value that was found; empty if the field is missing.
    pub value: String,
    /// Description of a valid value.
    pub expected: String,
}

/// Validation finding without a source location.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RuleFinding {
    /// Path of the invalid field, such as `service.reports.server[0].slots`.
    pub field: String,
    /// Value that was found; empty if the field is missing.
    pub value: String,
    /// Description of a valid value.
    pub expected: String,
}

impl RuleFinding {
    /// Maximum length of the invalid value in a finding, in characters.
    const EXCERPT_CHARS: usize = 80;

    /// Creates a finding about `field`, with `value` truncated if it is long.
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
    /// Adds the file and the line and column to a finding.
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

    /// Creates a finding about a whole file.
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
