//! Changes that an operator asks for.

use crate::prelude::*;

/// One wanted change of the head.
#[derive(Clone, Debug, PartialEq)]
pub enum HeadChange {
    /// Put a directory's declarations in force.
    Declare {
        /// Declarations.
        set: Box<DeclarationSet>,
        /// Whether objects that nobody declares are removed.
        prune: bool,
        /// Preset in force after the first change of all.
        first_preset: Option<String>,
    },
    /// Put a preset in force.
    Preset(String),
    /// Give a server no new work.
    Drain(ServerName),
    /// Give a drained server work again.
    Return(ServerName),
}
