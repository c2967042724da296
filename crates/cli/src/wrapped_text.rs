//! Word wrapping at 80 columns.

/// Maximum width of a line, in characters.
pub(crate) const MAX_WIDTH: usize = 80;
/// Additional indentation of continuation lines, in characters.
const CONTINUATION_INDENT: usize = 4;

/// Wraps `text` into indented lines of at most 80 characters; does not break longer words.
pub(crate) fn wrapped(indent: usize, text: &str) -> String {
    let mut lines = String::new();
    let mut line = " ".repeat(indent);
    let mut is_empty = true;
    for word in text.split_whitespace() {
        if !is_empty && line.chars().count() + 1 + word.chars().count() > MAX_WIDTH {
            lines += &line;
            lines.push('\n');
            line = " ".repeat(indent + CONTINUATION_INDENT);
            is_empty = true;
        }
        if !is_empty {
            line.push(' ');
        }
        line += word;
        is_empty = false;
    }
    lines + &line + "\n"
}
