//! Findings in all files, and the source location of each field.

use crate::prelude::*;

/// Collects findings and locates them in the source files.
pub(crate) struct FindingLog<'a> {
    files: &'a [SourceFile],
    spans: IndexMap<String, FieldSpan>,
    findings: Vec<(FieldSpan, CheckFinding)>,
}

/// Byte range of a field in one of the files.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FieldSpan {
    /// Index of the file.
    pub(crate) file: usize,
    /// Offset of the first byte of the field's value.
    pub(crate) start: usize,
    /// Offset of the byte after the field's value.
    pub(crate) end: usize,
}

impl<'a> FindingLog<'a> {
    /// Creates an empty log for `files`.
    pub(crate) fn new(files: &'a [SourceFile]) -> Self {
        Self {
            files,
            spans: IndexMap::new(),
            findings: Vec::new(),
        }
    }

    /// Files that the findings refer to.
    pub(crate) fn files(&self) -> &'a [SourceFile] {
        self.files
    }

    /// Records the span of `field`; the first recorded span of a field is kept.
    pub(crate) fn record_span(&mut self, field: &str, span: FieldSpan) {
        self.spans.entry(field.into()).or_insert(span);
    }

    /// Location of the first declaration of `field`, formatted as `FILE:LINE`.
    pub(crate) fn first_location(&self, field: &str) -> Option<String> {
        let span = self.spans.get(field)?;
        let file = self.files.get(span.file)?;
        Some(format!("{}:{}", file.name, file.position(span.start).0))
    }

    /// First line of the source text in `span`.
    pub(crate) fn excerpt(&self, span: FieldSpan) -> &'a str {
        self.files
            .get(span.file)
            .map_or("", |file| file.excerpt(span.start, span.end))
    }

    /// Reports a finding at `span`.
    pub(crate) fn report(&mut self, span: FieldSpan, rule: RuleFinding) {
        let Some(file) = self.files.get(span.file) else {
            return;
        };
        let position = file.position(span.start);
        let finding = CheckFinding::at(&file.name, Some(position), rule);
        self.findings.push((span, finding));
    }

    /// Reports a violated rule, unless the field or one of its items already has a finding.
    pub(crate) fn report_rule(&mut self, rule: &RuleFinding) {
        let is_same_field = |finding: &CheckFinding| {
            let suffix = finding.field.strip_prefix(&rule.field);
            suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('['))
        };
        if self
            .findings
            .iter()
            .any(|(_, finding)| is_same_field(finding))
        {
            return;
        }
        match self.nearest_span(&rule.field) {
            Some(span) => self.report(span, rule.clone()),
            None => {
                let finding = CheckFinding::at("(all files)", None, rule.clone());
                self.findings.push((FieldSpan::default(), finding));
            }
        }
    }

    /// Span of `field`, or of the innermost enclosing field that has a recorded span.
    fn nearest_span(&self, field: &str) -> Option<FieldSpan> {
        let mut field = field;
        loop {
            if let Some(span) = self.spans.get(field) {
                return Some(*span);
            }
            field = &field[..field.rfind(['.', '['])?];
        }
    }

    /// Returns all findings, sorted by source position.
    pub(crate) fn into_findings(mut self) -> Vec<CheckFinding> {
        self.findings.sort_by_key(|(span, _)| *span);
        self.findings
            .into_iter()
            .map(|(_, finding)| finding)
            .collect()
    }
}
