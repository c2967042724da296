//! A file of declarations, held in memory.

/// Name and text of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// Name of the file, as shown in findings.
    pub name: String,
    /// Content of the file.
    pub text: String,
}

impl SourceFile {
    /// Creates a file from its name and content.
    pub fn new(name: &str, text: &str) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }

    /// Line and column of a byte offset, both starting at 1; columns are counted in characters.
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

    /// First line of the text between the byte offsets `start` and `end`.
    pub(crate) fn excerpt(&self, start: usize, end: usize) -> &str {
        let text = self.text.get(start..end).unwrap_or_default();
        text.lines().next().unwrap_or_default()
    }
}
