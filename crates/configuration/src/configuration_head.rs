//! The head of the configuration: the one object that is in force.

use crate::prelude::*;

/// Declarations, preset in force and revision, as stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationHead {
    /// Grows by one with each accepted change.
    pub revision: u64,
    /// Name of the preset in force.
    pub preset: String,
    /// Declared presets by name.
    pub presets: IndexMap<String, PresetDeclaration>,
    /// Declared services by name.
    pub services: IndexMap<ServiceName, ServiceDeclaration>,
    /// Declared data centres by name.
    #[serde(default, rename = "places")]
    pub data_centres: IndexMap<String, DataCentreDeclaration>,
    /// Servers that operators have drained, whatever the preset.
    #[serde(default)]
    pub drained_servers: Vec<ServerName>,
    /// Latest accepted changes, oldest first, this one included.
    #[serde(default)]
    pub history: Vec<AuditEntry>,
    /// Who made the change.
    pub changed_by: String,
    /// When, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
    /// Identity of the write, to recognise a write whose answer was lost.
    pub write_id: String,
}

impl ConfigurationHead {
    /// Accepted changes that the head remembers.
    pub const HISTORY_ENTRIES: usize = 64;
    /// Preset in force after the first change, where it is declared.
    pub const FIRST_PRESET: &'static str = "ordinary";

    /// Declarations in force.
    pub fn declarations(&self) -> DeclarationSet {
        DeclarationSet {
            data_centres: self.data_centres.clone(),
            services: self.services.clone(),
            presets: self.presets.clone(),
        }
    }

    /// Whether `server` takes no new work, by the preset in force or by hand.
    pub fn is_drained(&self, server: &ServerName) -> bool {
        let by_preset = |preset: &PresetDeclaration| preset.drained_servers.contains(server);
        self.drained_servers.contains(server)
            || self.presets.get(&self.preset).is_some_and(by_preset)
    }

    /// Entry of the write `write_id`, as long as the head remembers it.
    pub fn entry_of(&self, write_id: &str) -> Option<&AuditEntry> {
        self.history.iter().find(|entry| entry.write_id == write_id)
    }

    /// Makes a changed copy the next revision and remembers the change.
    pub fn record_change(&mut self, metadata: &ChangeMetadata, change: &str) {
        self.revision += 1;
        let entry = metadata.entry(self.revision, change);
        self.changed_by.clone_from(&entry.changed_by);
        self.changed_at_ms = metadata.changed_at_ms;
        self.write_id.clone_from(&metadata.write_id);
        self.history.push(entry);
        let surplus = self.history.len().saturating_sub(Self::HISTORY_ENTRIES);
        self.history.drain(..surplus);
    }

    /// Everything that a change may touch, by kind and name.
    pub(crate) fn objects(&self) -> ObjectMap {
        let mut objects = self.declarations().objects();
        objects.insert("preset in force".into(), self.preset.as_str().into());
        objects.insert("drained servers".into(), json!(self.drained_servers));
        objects
    }

    /// Preset in force, the default one when it is not declared.
    pub fn active_preset(&self) -> PresetDeclaration {
        self.presets.get(&self.preset).cloned().unwrap_or_default()
    }

    /// Servers of `service` that may take work: drained neither by the preset in force nor by hand.
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
