//! Checks log lines of instances against the fields that docs/OPERATIONS.md lists.

use std::path::Path;

/// Parses a log line into its fields, in order; returns nothing if it is malformed.
fn parse_fields(line: &str) -> Option<Vec<(String, String)>> {
    let mut fields = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let (name, value_and_rest) = rest.split_once('=')?;
        let is_name = name
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'_');
        let (value, remainder) = match value_and_rest.strip_prefix('"') {
            Some(quoted) => {
                let end = closing_quote(quoted)?;
                (&quoted[..end], &quoted[end + 1..])
            }
            None => {
                value_and_rest.split_at(value_and_rest.find(' ').unwrap_or(value_and_rest.len()))
            }
        };
        if !is_name || name.is_empty() {
            return None;
        }
        fields.push((name.into(), value.into()));
        rest = remainder.strip_prefix(' ').unwrap_or(remainder);
    }
    Some(fields)
}

/// Returns the position of the quote that ends a quoted value.
fn closing_quote(text: &str) -> Option<usize> {
    let mut is_escaped = false;
    text.char_indices().find_map(|(position, character)| {
        let is_end = character == '"' && !is_escaped;
        is_escaped = character == '\\' && !is_escaped;
        is_end.then_some(position)
    })
}

/// Returns the fields of each message as docs/OPERATIONS.md lists them; those in parentheses are
/// optional.
fn documented_fields() -> Vec<(String, Vec<String>)> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let text = std::fs::read_to_string(path).unwrap();
    let section = text.split("## Fields of each line").nth(1).unwrap();
    let rows = section.lines().filter_map(|line| {
        let (message, fields) = line.strip_prefix("| `")?.split_once("` |")?;
        let fields = fields.trim().trim_end_matches('|').split_whitespace();
        Some((message.to_string(), fields.map(String::from).collect()))
    });
    rows.collect()
}

/// Returns the log lines of all instances that are malformed or differ from the documented fields.
pub(crate) fn invalid_log_lines(log_dir: &Path) -> Vec<String> {
    const COMMON_FIELDS: [&str; 5] = ["timestamp", "level", "module", "position", "message"];
    let documented = documented_fields();
    let mut invalid_lines = Vec::new();
    for file in std::fs::read_dir(log_dir).unwrap() {
        let text = std::fs::read_to_string(file.unwrap().path()).unwrap();
        for line in text.lines() {
            let Some(fields) = parse_fields(line) else {
                invalid_lines.push(format!("malformed: {line}"));
                continue;
            };
            let names: Vec<&str> = fields.iter().map(|(name, _)| name.as_str()).collect();
            let message = fields.get(4).map_or("", |(_, message)| message);
            let row = documented.iter().find(|(name, _)| name == message);
            let is_documented = names.starts_with(&COMMON_FIELDS)
                && row.is_some_and(|(_, row)| {
                    let required = row.iter().filter(|name| !name.starts_with('('));
                    let is_optional = |name: &&&str| row.contains(&format!("({name})"));
                    let actual = names[COMMON_FIELDS.len()..]
                        .iter()
                        .filter(|name| !is_optional(name));
                    required.eq(actual)
                });
            if !is_documented {
                invalid_lines.push(format!("not as documented: {line}"));
            }
        }
    }
    invalid_lines
}
