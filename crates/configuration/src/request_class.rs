//! Classes of requests within a service.

use crate::prelude::*;

/// Matching rule and limits of one class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class.
    pub name: String,
    /// HTTP methods that the class matches.
    pub methods: Vec<String>,
    /// Path segment after the key that the class matches; any if absent.
    #[serde(default)]
    pub path: Option<String>,
    /// Whether a request may be executed more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Priority; requests with priority 0 are served first.
    #[serde(default = "RequestClass::default_priority")]
    pub priority: u8,
    /// Maximum time that a caller waits, in milliseconds.
    #[serde(default = "RequestClass::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "RequestClass::default_bytes")]
    pub max_body_bytes: u64,
    /// Maximum size of a response body, in bytes.
    #[serde(default = "RequestClass::default_bytes")]
    pub max_answer_bytes: u64,
}

impl RequestClass {
    /// Lowest priority, which is the largest number that can be declared.
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
