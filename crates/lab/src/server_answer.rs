//! Body of a stand-in server's answer, which repeats the whole request.

use crate::prelude::*;

/// What an answer must repeat.
pub(crate) struct ServerAnswer<'a> {
    pub(crate) method: &'a str,
    pub(crate) target: &'a str,
    pub(crate) body: &'a Bytes,
}

impl ServerAnswer<'_> {
    /// Header by which a caller numbers its attempts at one request.
    pub(crate) const ATTEMPT_HEADER: &'static str = "lab-attempt";

    /// Text of the answer of `server`.
    pub(crate) fn text(&self, server: &str) -> String {
        let body = String::from_utf8_lossy(self.body);
        let length = self.body.len();
        format!(
            "{} {} [{body}] by {server}: {length} bytes\n",
            self.method, self.target
        )
    }

    /// Whether `text` is the whole answer to this request.
    pub(crate) fn matches(&self, text: &[u8]) -> bool {
        let text = String::from_utf8_lossy(text);
        let expected = self.text("\n");
        let (start, end) = expected.split_once('\n').unwrap_or_default();
        text.starts_with(start) && text.ends_with(end)
    }
}
