//! Methods of [`TableReader`] for lists and named tables.

use crate::prelude::*;
use toml::de::DeValue;

impl<'t> TableReader<'t> {
    /// Reads a list of strings; empty if the field is absent.
    pub(crate) fn strings(&mut self, log: &mut FindingLog, name: &'static str) -> Vec<String> {
        let mut strings = Vec::new();
        for (path, span, value) in self.items(log, name, "a list of strings") {
            match value {
                DeValue::String(text) => {
                    log.record_span(
                        &format!("{}[{}]", self.field_path(name), strings.len()),
                        span,
                    );
                    strings.push(text.to_string());
                }
                _ => log.report(span, RuleFinding::new(&path, log.excerpt(span), "a string")),
            }
        }
        strings
    }

    /// Reads a list of tables; empty if the field is absent.
    pub(crate) fn tables(&mut self, log: &mut FindingLog, name: &'static str) -> Vec<Self> {
        let mut tables = Vec::new();
        for (path, span, value) in self.items(log, name, "a list of tables") {
            match value {
                DeValue::Table(table) => {
                    let path = format!("{}[{}]", self.field_path(name), tables.len());
                    log.record_span(&path, span);
                    tables.push(Self::new(table, &path, span));
                }
                _ => log.report(span, RuleFinding::new(&path, log.excerpt(span), "a table")),
            }
        }
        tables
    }

    /// Reads the tables of the form `[name.NAME]` with their names; empty if there are none.
    pub(crate) fn named_tables(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
    ) -> Vec<(String, Self)> {
        if !self.contains(name) {
            return Vec::new();
        }
        let expected = format!("tables of the form [{name}.NAME]");
        let Some((value, span)) = self.require(log, name, &expected) else {
            return Vec::new();
        };
        let DeValue::Table(table) = value else {
            self.report_mismatch::<()>(log, name, span, &expected);
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (key, value) in table.iter() {
            let path = format!("{}.{}", self.field_path(name), key.get_ref());
            let span = self.span_of(&key.span());
            match value.get_ref() {
                DeValue::Table(table) => {
                    tables.push((key.get_ref().to_string(), Self::new(table, &path, span)));
                }
                _ => {
                    let span = self.span_of(&value.span());
                    let rule = RuleFinding::new(&path, log.excerpt(span), &expected);
                    log.report(span, rule);
                }
            }
        }
        tables
    }

    /// Items of a list, each with its path and span.
    fn items(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
        expected: &str,
    ) -> Vec<(String, FieldSpan, &'t DeValue<'t>)> {
        if !self.contains(name) {
            return Vec::new();
        }
        let Some((value, span)) = self.require(log, name, expected) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value else {
            self.report_mismatch::<()>(log, name, span, expected);
            return Vec::new();
        };
        items
            .iter()
            .enumerate()
            .map(|(index, item)| {
                let path = format!("{}[{index}]", self.field_path(name));
                (path, self.span_of(&item.span()), item.get_ref())
            })
            .collect()
    }
}
