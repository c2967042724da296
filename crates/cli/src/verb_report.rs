//! What a command has to say.

use crate::prelude::*;

/// Result of one command, for people and for scripts.
#[derive(Clone, Debug, PartialEq)]
pub struct VerbReport {
    /// Exit status.
    pub status: ExitStatus,
    /// Text for people.
    pub text: String,
    /// The same for scripts.
    pub json: Value,
}

impl VerbReport {
    /// A report.
    pub(crate) fn new(status: ExitStatus, text: impl Into<String>, json: Value) -> Self {
        Self {
            status,
            text: text.into(),
            json,
        }
    }

    /// A report of a failure with one message.
    pub(crate) fn failure(status: ExitStatus, message: impl Into<String>) -> Self {
        let message = message.into();
        let json = json!({ "error": message });
        Self::new(status, message + "\n", json)
    }

    /// A report of findings.
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

    /// Adds what another report says; the worse status stays.
    pub(crate) fn followed_by(mut self, next: Self) -> Self {
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
