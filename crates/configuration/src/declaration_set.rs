//! Everything that one directory declares.

use crate::prelude::*;

/// Data centres, services and presets by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DeclarationSet {
    /// Data centres.
    pub places: IndexMap<String, PlaceDeclaration>,
    /// Services.
    pub services: IndexMap<ServiceName, ServiceDeclaration>,
    /// Presets.
    pub presets: IndexMap<String, PresetDeclaration>,
}

impl DeclarationSet {
    /// Reads `files` whole; every fault found in them is reported at once.
    pub fn read(files: &[SourceFile]) -> Result<Self, Vec<CheckFinding>> {
        let mut log = FindingLog::new(files);
        let set = DeclarationReader::read(&mut log);
        for finding in SetRules::findings(&set) {
            log.report_rule(&finding);
        }
        match log.into_findings() {
            findings if findings.is_empty() => Ok(set),
            findings => Err(findings),
        }
    }
}
