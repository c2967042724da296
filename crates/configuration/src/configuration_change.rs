//! Configuration changes that an operator can request.

use crate::prelude::*;

/// Requested change of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationChange {
    /// Replace the declarations by those of a directory.
    Declare {
        /// New declarations.
        set: Box<DeclarationSet>,
        /// Whether objects missing from the new declarations are removed.
        prune: bool,
        /// Preset to activate if this change creates the first revision.
        initial_preset: Option<String>,
    },
    /// Activate a preset.
    UsePreset(String),
    /// Drain a server: it receives no new requests.
    Drain(ServerName),
    /// Undo the drain of a server.
    Undrain(ServerName),
}
