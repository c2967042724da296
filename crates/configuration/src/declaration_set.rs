//! Everything that one directory declares.

use crate::prelude::*;

/// Data centres, services and presets by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DeclarationSet {
    /// Data centres.
    #[serde(rename = "places")]
    pub data_centres: IndexMap<String, DataCentreDeclaration>,
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

    /// Size of the declarations in their stored form, in bytes.
    pub fn stored_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |text| text.len())
    }

    /// Declared objects by kind and name; each server is one of its own.
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
