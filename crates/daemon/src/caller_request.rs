//! A caller's request, read whole.

use crate::prelude::*;

/// A request with what decides where and how it runs.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CallerRequest {
    /// Identity, from the caller or made on arrival.
    pub(crate) id: Uuid,
    /// Whether the id came from the caller.
    pub(crate) id_from_caller: bool,
    /// Whether an earlier attempt may have reached a leader.
    pub(crate) repeated: bool,
    /// Name by which the caller's share is counted.
    pub(crate) caller: String,
    /// Service.
    pub(crate) service: ServiceName,
    /// Name of the request's class.
    pub(crate) class: String,
    /// Hash of the key.
    pub(crate) hash: KeyHash,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query, as the server gets them.
    pub(crate) target: String,
    /// Headers that are passed on.
    pub(crate) headers: Vec<HeaderField>,
    /// Body.
    pub(crate) body: Bytes,
}

impl CallerRequest {
    /// Digest of what the request asks for and who asks.
    pub(crate) fn digest(&self) -> u128 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for field in [&self.caller, &self.method, &self.target] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(&self.body);
        hasher.digest128()
    }
}

/// One header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeaderField {
    /// Lower-case name.
    pub(crate) name: String,
    /// Value.
    pub(crate) value: Vec<u8>,
}

impl HeaderField {
    /// Prefix of headers that are the system's own.
    pub(crate) const OWN_PREFIX: &'static str = "geraniummast-";
    /// Headers that concern one connection only or are set anew.
    const NOT_PASSED: [&'static str; 9] = [
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];

    /// Headers that pass from one side to the other.
    pub(crate) fn passed(headers: &http::HeaderMap) -> Vec<Self> {
        headers
            .iter()
            .filter(|(name, _)| !Self::NOT_PASSED.contains(&name.as_str()))
            .filter(|(name, _)| !name.as_str().starts_with(Self::OWN_PREFIX))
            .map(|(name, value)| Self {
                name: name.to_string(),
                value: value.as_bytes().to_vec(),
            })
            .collect()
    }
}
