//! Verbs (subcommands) of the command line.

use crate::prelude::*;

/// Verb with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CliVerb {
    /// Check a directory of declarations.
    Check(PathBuf),
    /// Show what applying a directory would do.
    Plan(PathBuf),
    /// Apply a directory of declarations.
    Apply(PathBuf),
    /// Activate a preset.
    PresetUse(String),
    /// List presets.
    PresetList,
    /// List accepted changes.
    History,
    /// Show services, servers and instances.
    Status,
    /// Show the complete state of each instance.
    Dump,
    /// Drain a server or an instance.
    Drain(String),
    /// Show the owner of a key and the decisions about it.
    Explain {
        /// Name of the service.
        service: String,
        /// Key within the service.
        key: String,
    },
}

impl CliVerb {
    /// Whether the verb requires the store.
    pub(crate) fn needs_store(&self) -> bool {
        match self {
            Self::Plan(_) | Self::Apply(_) | Self::PresetUse(_) | Self::PresetList => true,
            Self::History | Self::Drain(_) => true,
            Self::Check(_) | Self::Status | Self::Dump | Self::Explain { .. } => false,
        }
    }

    /// Whether the verb makes a change that is recorded with the operator's name.
    pub(crate) fn makes_change(&self) -> bool {
        matches!(self, Self::Apply(_) | Self::PresetUse(_) | Self::Drain(_))
    }

    /// Whether the verb always requires instances.
    pub(crate) fn needs_instances(&self) -> bool {
        matches!(self, Self::Status | Self::Dump | Self::Explain { .. })
    }
}
