//! Printing of reports, with colours on a terminal.

use crate::prelude::*;
use std::io::Write;

const GREEN: &str = "\x1b[32m";
const RED: &str = "\x1b[31m";
const PLAIN: &str = "\x1b[0m";

/// Words that are coloured, with their colour.
const COLOURED_WORDS: [(&str, &str); 10] = [
    ("ready", GREEN),
    ("active", GREEN),
    ("up", GREEN),
    ("done", GREEN),
    ("silent", RED),
    ("behind", RED),
    ("down", RED),
    ("lost", RED),
    ("unclear", RED),
    ("refused", RED),
];

/// Prints a report to standard output; ignores write errors such as a closed pipe.
pub(crate) fn print(report: &VerbReport, as_json: bool) {
    let mut out = std::io::stdout().lock();
    let text = match as_json {
        true => serde_json::to_string_pretty(&report.json).unwrap_or_default() + "\n",
        false if out.is_terminal() && std::env::var_os("NO_COLOR").is_none() => paint(&report.text),
        false => report.text.clone(),
    };
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

fn paint(text: &str) -> String {
    let word_of = |part: &str| {
        let word = part
            .trim_matches(|c: char| !c.is_alphanumeric())
            .to_string();
        COLOURED_WORDS.iter().find(|(painted, _)| *painted == word)
    };
    text.split_inclusive([' ', '\n'])
        .map(|part| match word_of(part) {
            Some((word, colour)) => part.replacen(word, &format!("{colour}{word}{PLAIN}"), 1),
            None => part.to_string(),
        })
        .collect()
}
