//! Findings collected over all files, and where each field stands.

use crate::prelude::*;

/// Collects findings.
pub(crate) struct FindingLog<'a> {
    files: &'a [SourceFile],
    places: IndexMap<String, FieldPlace>,
    findings: Vec<(FieldPlace, CheckFinding)>,
}

/// Where a field stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FieldPlace {
    /// Position among the files.
    pub(crate) file: usize,
    /// First byte of the field's value.
    pub(crate) start: usize,
    /// Byte after the field's value.
    pub(crate) end: usize,
}

impl<'a> FindingLog<'a> {
    /// Log over `files`.
    pub(crate) fn new(files: &'a [SourceFile]) -> Self {
        Self {
            files,
            places: IndexMap::new(),
            findings: Vec::new(),
        }
    }

    /// Files that are read.
    pub(crate) fn files(&self) -> &'a [SourceFile] {
        self.files
    }

    /// Remembers where `field` stands.
    pub(crate) fn note(&mut self, field: &str, place: FieldPlace) {
        self.places.entry(field.into()).or_insert(place);
    }

    /// Where `field` was first declared, as `FILE:LINE`.
    pub(crate) fn first_place(&self, field: &str) -> Option<String> {
        let place = self.places.get(field)?;
        let file = self.files.get(place.file)?;
        Some(format!("{}:{}", file.name, file.position(place.start).0))
    }

    /// Text that stands at `place`.
    pub(crate) fn excerpt(&self, place: FieldPlace) -> &'a str {
        self.files
            .get(place.file)
            .map_or("", |file| file.excerpt(place.start, place.end))
    }

    /// Reports a fault at a place.
    pub(crate) fn report(&mut self, place: FieldPlace, rule: RuleFinding) {
        let Some(file) = self.files.get(place.file) else {
            return;
        };
        let position = file.position(place.start);
        let finding = CheckFinding::at(&file.name, Some(position), rule);
        self.findings.push((place, finding));
    }

    /// Reports a broken rule, unless the field or one of its items is already known to be faulty.
    pub(crate) fn report_rule(&mut self, rule: &RuleFinding) {
        let known = |finding: &CheckFinding| {
            let rest = finding.field.strip_prefix(&rule.field);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('['))
        };
        if self.findings.iter().any(|(_, finding)| known(finding)) {
            return;
        }
        match self.nearest_place(&rule.field) {
            Some(place) => self.report(place, rule.clone()),
            None => {
                let finding = CheckFinding::at("(all files)", None, rule.clone());
                self.findings.push((FieldPlace::default(), finding));
            }
        }
    }

    /// Place of `field` or of the nearest field around it.
    fn nearest_place(&self, field: &str) -> Option<FieldPlace> {
        let mut field = field;
        loop {
            if let Some(place) = self.places.get(field) {
                return Some(*place);
            }
            field = &field[..field.rfind(['.', '['])?];
        }
    }

    /// All findings in the order of their places.
    pub(crate) fn into_findings(mut self) -> Vec<CheckFinding> {
        self.findings.sort_by_key(|(place, _)| *place);
        self.findings
            .into_iter()
            .map(|(_, finding)| finding)
            .collect()
    }
}
