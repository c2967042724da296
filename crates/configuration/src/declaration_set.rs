//! The complete set of declarations of one directory.

use crate::prelude::*;

/// Declared data centres, services and presets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DeclarationSet {
    /// Declared data centres by name.
    #[serde(rename = "places")]
    pub data_centres: IndexMap<String, DataCentreDeclaration>,
    /// Declared services by name.
    pub services: IndexMap<ServiceName, ServiceDeclaration>,
    /// Declared presets by name.
    pub presets: IndexMap<String, PresetDeclaration>,
}

impl DeclarationSet {
    /// Parses and validates `files`, and returns either the set or all findings.
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

    /// Size of the declarations as stored (JSON), in bytes.
    pub fn stored_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |text| text.len())
    }

    /// Declared objects by kind and name; each server is a separate object.
    pub(crate) fn objects(&self) -> ObjectMap {
        let mut objects = ObjectMap::new();
        for (name, data_centre) in &self.data_centres {
            objects.insert(format!("place {name}"), json!(data_centre));
        }
        for (name, service) in &self.services {
            let mut value = json!(service);
            if let Some(fields) = value.as_object_mut() {
                fields.remove("server");
            }
            objects.insert(format!("service {name}"), value);
            for server in &service.servers {
                objects.insert(format!("server {name}/{}", server.name), json!(server));
            }
        }
        for (name, preset) in &self.presets {
            objects.insert(format!("preset {name}"), json!(preset));
        }
        objects
    }
}
