//! The configuration head: the single stored object that holds the configuration in force.

use crate::prelude::*;

/// Configuration in force, as stored: declarations, active preset, revision and history.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationHead {
    /// Revision number, incremented by each accepted change.
    pub revision: u64,
    /// Name of the active preset.
    pub preset: String,
    /// Declared presets by name.
    pub presets: IndexMap<String, PresetDeclaration>,
    /// Declared services by name.
    pub services: IndexMap<ServiceName, ServiceDeclaration>,
    /// Declared data centres by name.
    #[serde(default, rename = "places")]
    pub data_centres: IndexMap<String, DataCentreDeclaration>,
    /// Servers drained by operators, independent of the active preset.
    #[serde(default)]
    pub drained_servers: Vec<ServerName>,
    /// Latest accepted changes, oldest first, including the one that created this revision.
    #[serde(default)]
    pub history: Vec<AuditEntry>,
    /// Name of the operator who made the latest change.
    pub changed_by: String,
    /// Time of the latest change, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
    /// Unique id of the latest write, used to recognise a write whose response was lost.
    pub write_id: String,
}

impl ConfigurationHead {
    /// Maximum number of accepted changes in the history.
    pub const MAX_HISTORY_ENTRIES: usize = 64;
    /// Preset that the first change activates if it is declared and no other is requested.
    pub const DEFAULT_PRESET: &'static str = "ordinary";

    /// Declarations in force.
    pub fn declarations(&self) -> DeclarationSet {
        DeclarationSet {
            data_centres: self.data_centres.clone(),
            services: self.services.clone(),
            presets: self.presets.clone(),
        }
    }

    /// Whether `server` is drained, by the active preset or by an operator.
    pub fn is_drained(&self, server: &ServerName) -> bool {
        let drains_server = |preset: &PresetDeclaration| preset.drained_servers.contains(server);
        self.drained_servers.contains(server)
            || self.presets.get(&self.preset).is_some_and(drains_server)
    }

    /// Finds the audit entry of the write `write_id`, if it is still in the history.
    pub fn find_entry(&self, write_id: &str) -> Option<&AuditEntry> {
        self.history.iter().find(|entry| entry.write_id == write_id)
    }

    /// Increments the revision and adds the change to the history.
    pub fn record_change(&mut self, metadata: &ChangeMetadata, change: &str) {
        self.revision += 1;
        let entry = metadata.entry(self.revision, change);
        self.changed_by.clone_from(&entry.changed_by);
        self.changed_at_ms = metadata.changed_at_ms;
        self.write_id.clone_from(&metadata.write_id);
        self.history.push(entry);
        let surplus = self.history.len().saturating_sub(Self::MAX_HISTORY_ENTRIES);
        self.history.drain(..surplus);
    }

    /// Objects that a change can affect, by kind and name.
    pub(crate) fn objects(&self) -> ObjectMap {
        let mut objects = self.declarations().objects();
        objects.insert("preset in force".into(), self.preset.as_str().into());
        objects.insert("drained servers".into(), json!(self.drained_servers));
        objects
    }

    /// Declaration of the active preset, or an empty preset if it is not declared.
    pub fn active_preset(&self) -> PresetDeclaration {
        self.presets.get(&self.preset).cloned().unwrap_or_default()
    }

    /// Servers of `service` that are drained neither by the active preset nor by an operator.
    pub fn active_servers(&self, service: &ServiceName) -> Vec<&ServerDeclaration> {
        self.services
            .get(service)
            .map(|declaration| declaration.servers.iter())
            .into_iter()
            .flatten()
            .filter(|server| !self.is_drained(&server.name))
            .collect()
    }
}
