//! What the command line asks for.

use crate::prelude::*;

/// One verb with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CliVerb {
    /// Check a directory of declarations.
    Check(PathBuf),
    /// Show what applying a directory would do.
    Plan(PathBuf),
    /// Put a directory in force.
    Apply(PathBuf),
    /// Put a preset in force.
    PresetUse(String),
    /// List presets.
    PresetList,
    /// List accepted changes.
    History,
    /// Show services, servers and instances.
    Status,
    /// Show the whole state of each instance.
    Dump,
    /// Give a server or an instance no new work.
    Drain(String),
    /// Show where a key is served.
    Explain {
        /// Service.
        service: String,
        /// Key.
        key: String,
    },
}

impl CliVerb {
    /// Whether the verb talks to the store.
    pub(crate) fn needs_store(&self) -> bool {
        match self {
            Self::Plan(_) | Self::Apply(_) | Self::PresetUse(_) | Self::PresetList => true,
            Self::History | Self::Drain(_) => true,
            Self::Check(_) | Self::Status | Self::Dump | Self::Explain { .. } => false,
        }
    }

    /// Whether the verb makes a change that keeps the operator's name.
    pub(crate) fn makes_change(&self) -> bool {
        matches!(self, Self::Apply(_) | Self::PresetUse(_) | Self::Drain(_))
    }

    /// Whether the verb talks to instances.
    pub(crate) fn needs_instances(&self) -> bool {
        matches!(self, Self::Status | Self::Dump | Self::Explain { .. })
    }
}
