//! Reading of lists and of named tables within one TOML table.

use crate::prelude::*;
use toml::de::DeValue;

impl<'t> TableReader<'t> {
    /// List of texts, empty when absent.
    pub(crate) fn texts(&mut self, log: &mut FindingLog, name: &'static str) -> Vec<String> {
        let mut texts = Vec::new();
        for (path, place, value) in self.items(log, name, "a list of texts") {
            match value {
                DeValue::String(text) => {
                    log.note(&format!("{}[{}]", self.field(name), texts.len()), place);
                    texts.push(text.to_string());
                }
                _ => log.report(place, RuleFinding::new(&path, log.excerpt(place), "text")),
            }
        }
        texts
    }

    /// List of tables, empty when absent.
    pub(crate) fn tables(&mut self, log: &mut FindingLog, name: &'static str) -> Vec<Self> {
        let mut tables = Vec::new();
        for (path, place, value) in self.items(log, name, "a list of tables") {
            match value {
                DeValue::Table(table) => {
                    let path = format!("{}[{}]", self.field(name), tables.len());
                    log.note(&path, place);
                    tables.push(Self::new(table, &path, place));
                }
                _ => log.report(
                    place,
                    RuleFinding::new(&path, log.excerpt(place), "a table"),
                ),
            }
        }
        tables
    }

    /// Tables by name, none when absent.
    pub(crate) fn named_tables(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
    ) -> Vec<(String, Self)> {
        if !self.has(name) {
            return Vec::new();
        }
        let expected = format!("tables of the form [{name}.NAME]");
        let Some((value, place)) = self.required(log, name, &expected) else {
            return Vec::new();
        };
        let DeValue::Table(table) = value else {
            self.wrong::<()>(log, name, place, &expected);
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (key, value) in table.iter() {
            let path = format!("{}.{}", self.field(name), key.get_ref());
            let place = self.place_of(&key.span());
            match value.get_ref() {
                DeValue::Table(table) => {
                    tables.push((key.get_ref().to_string(), Self::new(table, &path, place)));
                }
                _ => {
                    let place = self.place_of(&value.span());
                    let rule = RuleFinding::new(&path, log.excerpt(place), &expected);
                    log.report(place, rule);
                }
            }
        }
        tables
    }

    fn items(
        &mut self,
        log: &mut FindingLog,
        name: &'static str,
        expected: &str,
    ) -> Vec<(String, FieldPlace, &'t DeValue<'t>)> {
        if !self.has(name) {
            return Vec::new();
        }
        let Some((value, place)) = self.required(log, name, expected) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value else {
            self.wrong::<()>(log, name, place, expected);
            return Vec::new();
        };
        items
            .iter()
            .enumerate()
            .map(|(index, item)| {
                let path = format!("{}[{index}]", self.field(name));
                (path, self.place_of(&item.span()), item.get_ref())
            })
            .collect()
    }
}
