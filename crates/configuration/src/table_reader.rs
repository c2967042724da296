//! Field-by-field reader of a TOML table that continues after an error.

use crate::prelude::*;
use toml::de::{DeTable, DeValue};

/// Reads the fields of a TOML table and reports errors to a [`FindingLog`].
///
/// A method returns `None` or an empty value for an invalid field, so that reading can go on.
pub(crate) struct TableReader<'t> {
    table: &'t DeTable<'t>,
    path: String,
    span: FieldSpan,
    known_fields: Vec<&'static str>,
}

impl<'t> TableReader<'t> {
    /// Creates a reader of `table`, which is located at `path`.
    pub(crate) fn new(table: &'t DeTable<'t>, path: &str, span: FieldSpan) -> Self {
        Self {
            table,
            path: path.into(),
            span,
            known_fields: Vec::new(),
        }
    }

    /// Path of the table, empty for the top level of a file.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// Source span of the table.
    pub(crate) fn span(&self) -> FieldSpan {
        self.span
    }

    /// Reads a required string.
    pub(crate) fn string(&mut self, log: &mut FindingLog, name: &'static str) -> Option<String> {
        let value = self.require(log, name, "a string")?;
        match value.0 {
            DeValue::String(text) => Some(text.to_string()),
            _ => self.report_mismatch(log, name, value.1, "a string"),
        }
    }

    /// Reads an optional string.
    pub(crate) fn optional_string(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
    ) -> Option<String> {
        self.contains(name)
            .then(|| self.string(log, name))
            .flatten()
    }

    /// Reads a required string and converts it with `parse`.
    pub(crate) fn parsed_string<T>(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let (value, span) = self.require(log, name, expected)?;
        match value.as_str().and_then(parse) {
            Some(parsed) => Some(parsed),
            None => self.report_mismatch(log, name, span, expected),
        }
    }

    /// Reads a required integer within `range`.
    pub(crate) fn integer(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let (value, span) = self.require(log, name, &expected)?;
        let number = value
            .as_integer()
            .and_then(|number| u64::from_str_radix(number.as_str(), number.radix()).ok());
        match number {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.report_mismatch(log, name, span, &expected),
        }
    }

    /// Reads an optional integer within `range`.
    pub(crate) fn optional_integer(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        self.contains(name)
            .then(|| self.integer(log, name, range))
            .flatten()
    }

    /// Reads a boolean; false if the field is absent.
    pub(crate) fn flag(&mut self, log: &mut FindingLog, name: &'static str) -> bool {
        if !self.contains(name) {
            return false;
        }
        let Some((value, span)) = self.require(log, name, "true or false") else {
            return false;
        };
        match value {
            DeValue::Boolean(flag) => *flag,
            _ => self
                .report_mismatch(log, name, span, "true or false")
                .unwrap_or_default(),
        }
    }

    /// Reports every field of the table that no earlier call has read.
    pub(crate) fn report_unknown_fields(self, log: &mut FindingLog) {
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if self.known_fields.contains(&name) {
                continue;
            }
            let expected = format!("one of the fields {}", self.known_fields.join(", "));
            let rule = RuleFinding::new(&self.field_path(name), name, &expected);
            log.report(self.span_of(&key.span()), rule);
        }
    }

    /// Whether the table contains the field; also marks the field as known.
    pub(crate) fn contains(&mut self, name: &'static str) -> bool {
        self.known_fields.push(name);
        self.table.contains_key(name)
    }

    /// Returns the value and span of a field, or reports that the field is missing.
    pub(crate) fn require(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
        expected: &str,
    ) -> Option<(&'t DeValue<'t>, FieldSpan)> {
        if !self.known_fields.contains(&name) {
            self.known_fields.push(name);
        }
        let field = self.field_path(name);
        match self.table.get(name) {
            Some(value) => {
                let span = self.span_of(&value.span());
                log.record_span(&field, span);
                Some((value.get_ref(), span))
            }
            None => {
                log.report(self.span, RuleFinding::new(&field, "", expected));
                None
            }
        }
    }

    /// Reports that a field has an unexpected type or value.
    pub(crate) fn report_mismatch<T>(
        &self,
        log: &mut FindingLog,
        name: &str,
        span: FieldSpan,
        expected: &str,
    ) -> Option<T> {
        let rule = RuleFinding::new(&self.field_path(name), log.excerpt(span), expected);
        log.report(span, rule);
        None
    }

    /// Full path of a field of this table.
    pub(crate) fn field_path(&self, name: &str) -> String {
        let name = match name {
            "" => "\"\"",
            name => name,
        };
        match self.path.as_str() {
            "" => name.into(),
            path => format!("{path}.{name}"),
        }
    }

    /// Converts a byte range into a span in the file of this table.
    pub(crate) fn span_of(&self, range: &Range<usize>) -> FieldSpan {
        FieldSpan {
            file: self.span.file,
            start: range.start,
            end: range.end,
        }
    }
}
