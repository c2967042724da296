//! A preset: how the declared services run on ordinary days, at peaks or under maintenance.

use crate::prelude::*;

/// Settings that apply while the preset is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetDeclaration {
    /// Servers that take no work under this preset.
    #[serde(default)]
    pub drained_servers: Vec<ServerName>,
    /// Request classes, as `service/class`, that are refused under this preset.
    #[serde(default)]
    pub refused_classes: Vec<String>,
    /// Share of each server's slots that may be used, in percent; 100 when absent.
    #[serde(default)]
    pub slot_percent: Option<u32>,
}
