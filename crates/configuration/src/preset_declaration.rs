//! Declaration of a preset: settings for one mode of operation, such as peak or maintenance.

use crate::prelude::*;

/// Settings that apply while the preset is active.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetDeclaration {
    /// Servers that are drained while the preset is active.
    #[serde(default)]
    pub drained_servers: Vec<ServerName>,
    /// Request classes, as `service/class`, that are refused while the preset is active.
    #[serde(default)]
    pub refused_classes: Vec<String>,
    /// Usable share of each server's slots, in percent; 100 if absent.
    #[serde(default)]
    pub slot_percent: Option<u32>,
}
