//! Reading of one TOML table, field by field, past every fault.

use crate::prelude::*;
use toml::de::{DeTable, DeValue};

/// A table being read; each fault goes to the log and a harmless value takes the field's place.
pub(crate) struct TableReader<'t> {
    table: &'t DeTable<'t>,
    path: String,
    place: FieldPlace,
    known: Vec<&'static str>,
}

impl<'t> TableReader<'t> {
    /// Reader of `table`, found at `path`.
    pub(crate) fn new(table: &'t DeTable<'t>, path: &str, place: FieldPlace) -> Self {
        Self {
            table,
            path: path.into(),
            place,
            known: Vec::new(),
        }
    }

    /// Path of the table.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// Place of the table.
    pub(crate) fn place(&self) -> FieldPlace {
        self.place
    }

    /// Text of a field that must be there.
    pub(crate) fn text(&mut self, log: &mut FindingLog, name: &'static str) -> Option<String> {
        let value = self.required(log, name, "text")?;
        match value.0 {
            DeValue::String(text) => Some(text.to_string()),
            _ => self.wrong(log, name, value.1, "text"),
        }
    }

    /// Text of a field that may be absent.
    pub(crate) fn optional_text(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
    ) -> Option<String> {
        self.has(name).then(|| self.text(log, name)).flatten()
    }

    /// Value of a text field that is parsed further.
    pub(crate) fn parsed<T>(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let (value, place) = self.required(log, name, expected)?;
        match value.as_str().and_then(parse) {
            Some(parsed) => Some(parsed),
            None => self.wrong(log, name, place, expected),
        }
    }

    /// Whole number within `range` that must be there.
    pub(crate) fn number(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let (value, place) = self.required(log, name, &expected)?;
        let number = value
            .as_integer()
            .and_then(|number| u64::from_str_radix(number.as_str(), number.radix()).ok());
        match number {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.wrong(log, name, place, &expected),
        }
    }

    /// Whole number within `range` that may be absent.
    pub(crate) fn optional_number(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        self.has(name)
            .then(|| self.number(log, name, range))
            .flatten()
    }

    /// Flag, false when absent.
    pub(crate) fn flag(&mut self, log: &mut FindingLog, name: &'static str) -> bool {
        if !self.has(name) {
            return false;
        }
        let Some((value, place)) = self.required(log, name, "true or false") else {
            return false;
        };
        match value {
            DeValue::Boolean(flag) => *flag,
            _ => self
                .wrong(log, name, place, "true or false")
                .unwrap_or_default(),
        }
    }

    /// Reports every field that was not asked for.
    pub(crate) fn finish(self, log: &mut FindingLog) {
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if self.known.contains(&name) {
                continue;
            }
            let expected = format!("one of the fields {}", self.known.join(", "));
            let rule = RuleFinding::new(&self.field(name), name, &expected);
            log.report(self.place_of(&key.span()), rule);
        }
    }

    /// Whether the field is there; it is known from now on.
    pub(crate) fn has(&mut self, name: &'static str) -> bool {
        self.known.push(name);
        self.table.contains_key(name)
    }

    /// Value of a field that must be there.
    pub(crate) fn required(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
        expected: &str,
    ) -> Option<(&'t DeValue<'t>, FieldPlace)> {
        if !self.known.contains(&name) {
            self.known.push(name);
        }
        let field = self.field(name);
        match self.table.get(name) {
            Some(value) => {
                let place = self.place_of(&value.span());
                log.note(&field, place);
                Some((value.get_ref(), place))
            }
            None => {
                log.report(self.place, RuleFinding::new(&field, "", expected));
                None
            }
        }
    }

    /// Reports a field of another type or value than expected.
    pub(crate) fn wrong<T>(
        &self,
        log: &mut FindingLog,
        name: &str,
        place: FieldPlace,
        expected: &str,
    ) -> Option<T> {
        let rule = RuleFinding::new(&self.field(name), log.excerpt(place), expected);
        log.report(place, rule);
        None
    }

    /// Path of a field.
    pub(crate) fn field(&self, name: &str) -> String {
        let name = match name {
            "" => "\"\"",
            name => name,
        };
        match self.path.as_str() {
            "" => name.into(),
            path => format!("{path}.{name}"),
        }
    }

    /// Place of a span in the table's file.
    pub(crate) fn place_of(&self, span: &Range<usize>) -> FieldPlace {
        FieldPlace {
            file: self.place.file,
            start: span.start,
            end: span.end,
        }
    }
}
