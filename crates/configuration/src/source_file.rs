//! A file of declarations.

/// Name and text of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// Name as shown in findings.
    pub name: String,
    /// Contents.
    pub text: String,
}

impl SourceFile {
    /// A file named `name`.
    pub fn new(name: &str, text: &str) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }

    /// Line and column of a byte offset, both from 1; the column counts characters.
    pub(crate) fn position(&self, offset: usize) -> (usize, usize) {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        let line_start = before
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |index| index + 1);
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = String::from_utf8_lossy(&before[line_start..])
            .chars()
            .count();
        (line, column + 1)
    }

    /// First line of the text from `start` to `end`.
    pub(crate) fn excerpt(&self, start: usize, end: usize) -> &str {
        let text = self.text.get(start..end).unwrap_or_default();
        text.lines().next().unwrap_or_default()
    }
}
