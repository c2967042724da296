//! Lines that fit 80 columns.

/// Widest line, in characters.
pub(crate) const MAX_WIDTH: usize = 80;
/// Further indentation of continued lines, in characters.
const HANGING: usize = 4;

/// `text` on lines of at most 80 characters, indented; a longer word stays whole.
pub(crate) fn wrapped(indent: usize, text: &str) -> String {
    let mut lines = String::new();
    let mut line = " ".repeat(indent);
    let mut is_empty = true;
    for word in text.split_whitespace() {
        if !is_empty && line.chars().count() + 1 + word.chars().count() > MAX_WIDTH {
            lines += &line;
            lines.push('\n');
            line = " ".repeat(indent + HANGING);
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
