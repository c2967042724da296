//! Body of a simulated server's answer, which echoes the whole request.

use crate::prelude::*;

/// Request data that the body of an answer must echo.
pub(crate) struct ServerAnswer<'a> {
    pub(crate) method: &'a str,
    pub(crate) target: &'a str,
    pub(crate) body: &'a Bytes,
}

impl ServerAnswer<'_> {
    /// Header with the number of the caller's attempt at one request.
    pub(crate) const ATTEMPT_HEADER: &'static str = "lab-attempt";

    /// Formats the answer of `server`.
    pub(crate) fn text(&self, server: &str) -> String {
        let body = String::from_utf8_lossy(self.body);
        let length = self.body.len();
        format!(
            "{} {} [{body}] by {server}: {length} bytes\n",
            self.method, self.target
        )
    }

    /// Whether `text` is the complete answer of any server to this request.
    pub(crate) fn matches(&self, text: &[u8]) -> bool {
        let text = String::from_utf8_lossy(text);
        let expected = self.text("\n");
        let (start, end) = expected.split_once('\n').unwrap_or_default();
        text.starts_with(start) && text.ends_with(end)
    }
}
