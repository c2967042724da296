//! Settings of the command line, from flags and environment variables.

use crate::prelude::*;

/// Effective settings of one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CliSettings {
    /// Address of the store.
    pub store: Option<SocketAddr>,
    /// Operator addresses of the instances.
    pub instances: Vec<SocketAddr>,
    /// Token that authorises changes on an instance's operator port.
    pub token: String,
    /// Operator name that is recorded with changes.
    pub operator: String,
    /// Maximum time to retry calls to the store and to resolve an unclear outcome.
    pub timeout: Duration,
    /// Maximum time to wait until a change is in force on all instances.
    pub wait_timeout: Duration,
    /// Revision that a change must be based on; the current one if absent.
    pub revision: Option<u64>,
    /// Preset to activate if the change creates the first revision.
    pub preset: Option<String>,
    /// Id of the write to look up in the history.
    pub write_id: Option<String>,
    /// Whether to remove objects in force that are not declared.
    pub prune: bool,
    /// Whether to wait until a change is in force on all instances.
    pub wait: bool,
    /// Whether to undo a drain.
    pub undo: bool,
    /// Whether to print JSON.
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
