//! Classes of requests within a service.

use crate::prelude::*;

/// How requests of one class are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class.
    pub name: String,
    /// HTTP methods that select the class.
    pub methods: Vec<String>,
    /// First segment after the key that selects the class; any when absent.
    #[serde(default)]
    pub path: Option<String>,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Priority, 0 is served first.
    #[serde(default = "RequestClass::default_priority")]
    pub priority: u8,
    /// Longest time that a caller waits, in milliseconds.
    #[serde(default = "RequestClass::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Largest body of a request, in bytes.
    #[serde(default = "RequestClass::default_bytes")]
    pub max_body_bytes: u64,
    /// Largest body of an answer, in bytes.
    #[serde(default = "RequestClass::default_bytes")]
    pub max_answer_bytes: u64,
}

impl RequestClass {
    /// Lowest priority that can be declared.
    pub const LOWEST_PRIORITY: u8 = 3;

    pub(crate) fn default_priority() -> u8 {
        1
    }

    pub(crate) fn default_deadline_ms() -> u64 {
        2_000
    }

    pub(crate) fn default_bytes() -> u64 {
        1 << 20
    }
}
