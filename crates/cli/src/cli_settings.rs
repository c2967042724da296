//! Settings of the command line, from flags and variables.

use crate::prelude::*;

/// Effective settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CliSettings {
    /// Address of the store.
    pub store: Option<SocketAddr>,
    /// Addresses of the instances' operators' ports.
    pub instances: Vec<SocketAddr>,
    /// Token of changes on the operators' port.
    pub token: String,
    /// Name under which changes are recorded.
    pub operator: String,
    /// Longest time to resolve an unclear answer of the store.
    pub timeout: Duration,
    /// Longest time to wait until a change is in force everywhere.
    pub wait_timeout: Duration,
    /// Revision that a change is based on; the one found when absent.
    pub revision: Option<u64>,
    /// Preset in force after the first change of all.
    pub preset: Option<String>,
    /// Write looked for in the history.
    pub write_id: Option<String>,
    /// Whether undeclared objects are removed.
    pub prune: bool,
    /// Whether to wait until a change is in force everywhere.
    pub wait: bool,
    /// Whether a drain is undone.
    pub undo: bool,
    /// Whether the output is JSON.
    pub json: bool,
}

impl Default for CliSettings {
    fn default() -> Self {
        Self {
            store: None,
            instances: Vec::new(),
            token: String::new(),
            operator: String::new(),
            timeout: Duration::from_secs(10),
            wait_timeout: Duration::from_secs(20),
            revision: None,
            preset: None,
            write_id: None,
            prune: false,
            wait: false,
            undo: false,
            json: false,
        }
    }
}
