//! The head of the configuration: the one object that is in force.

use crate::prelude::*;

/// Declarations, preset in force and revision, as stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Grows by one with each accepted change.
    pub revision: u64,
    /// Name of the preset in force.
    pub preset: String,
    /// Declared presets by name.
    pub presets: IndexMap<String, PresetDeclaration>,
    /// Declared services by name.
    pub services: IndexMap<ServiceName, ServiceDeclaration>,
    /// Who made the change.
    pub changed_by: String,
    /// When, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
    /// Identity of the write, to recognise a write whose answer was lost.
    pub write_id: String,
}

impl HeadRecord {
    /// Preset in force, the default one when it is not declared.
    pub fn active_preset(&self) -> PresetDeclaration {
        self.presets.get(&self.preset).cloned().unwrap_or_default()
    }

    /// Servers of `service` that the preset in force lets take work.
    pub fn active_servers(&self, service: &ServiceName) -> Vec<&ServerDeclaration> {
        let preset = self.active_preset();
        self.services
            .get(service)
            .map(|declaration| declaration.servers.iter())
            .into_iter()
            .flatten()
            .filter(|server| !preset.drained_servers.contains(&server.name))
            .collect()
    }
}
