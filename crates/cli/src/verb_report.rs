//! Report of a verb: exit status, text and JSON.

use crate::prelude::*;

/// Result of a verb, for people and for scripts.
#[derive(Clone, Debug, PartialEq)]
pub struct VerbReport {
    /// Exit status of the process.
    pub status: ExitStatus,
    /// Text output for people.
    pub text: String,
    /// JSON output for scripts.
    pub json: Value,
}

impl VerbReport {
    /// Creates a report.
    pub(crate) fn new(status: ExitStatus, text: impl Into<String>, json: Value) -> Self {
        Self {
            status,
            text: text.into(),
            json,
        }
    }

    /// Creates a report of a failure with a single message.
    pub(crate) fn failure(status: ExitStatus, message: impl Into<String>) -> Self {
        let message = message.into();
        let json = json!({ "error": message });
        Self::new(status, message + "\n", json)
    }

    /// Creates a report that lists findings.
    pub(crate) fn findings<T: Display + Serialize>(findings: &[T]) -> Self {
        let mut text: String = findings
            .iter()
            .map(|finding| wrapped(0, &finding.to_string()))
            .collect();
        let noun = if findings.len() == 1 {
            "finding"
        } else {
            "findings"
        };
        text += &format!("{} {noun}\n", findings.len());
        Self::new(ExitStatus::Refused, text, json!({ "findings": findings }))
    }

    /// Appends the output of another report, and takes over its status unless it is `Done`.
    pub(crate) fn append(mut self, next: Self) -> Self {
        self.text += &next.text;
        if let (Some(fields), Value::Object(more)) = (self.json.as_object_mut(), next.json) {
            fields.extend(more);
        }
        if next.status != ExitStatus::Done {
            self.status = next.status;
        }
        self
    }
}
