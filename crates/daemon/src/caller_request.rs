//! A caller's request.

use crate::prelude::*;

/// A complete request with what decides where and how it runs.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CallerRequest {
    /// Request id, from the caller or made on arrival.
    pub(crate) id: Uuid,
    /// Whether the id came from the caller.
    pub(crate) id_from_caller: bool,
    /// Whether this is a retry: an earlier attempt may have reached a leader.
    pub(crate) is_retry: bool,
    /// Name of the caller, for fair queueing.
    pub(crate) caller: String,
    /// Service that is called.
    pub(crate) service: ServiceName,
    /// Name of the request's class.
    pub(crate) class: String,
    /// Hash of the key.
    pub(crate) hash: KeyHash,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query, sent to the server unchanged.
    pub(crate) target: String,
    /// Headers that are forwarded.
    pub(crate) headers: Vec<HeaderField>,
    /// Complete body.
    pub(crate) body: Bytes,
}

impl CallerRequest {
    /// Digest of caller, method, target and body; detects an id that is reused for another request.
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

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeaderField {
    /// Lower-case name.
    pub(crate) name: String,
    /// Value.
    pub(crate) value: Vec<u8>,
}

impl HeaderField {
    /// Prefix of the router's own headers, which are never forwarded.
    pub(crate) const RESERVED_PREFIX: &'static str = "geraniummast-";
    /// Headers that concern one connection only (hop-by-hop) or that are set again on each hop.
    const NOT_FORWARDED: [&'static str; 9] = [
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

    /// Headers that are forwarded between caller and server.
    pub(crate) fn forwarded(headers: &http::HeaderMap) -> Vec<Self> {
        headers
            .iter()
            .filter(|(name, _)| !Self::NOT_FORWARDED.contains(&name.as_str()))
            .filter(|(name, _)| !name.as_str().starts_with(Self::RESERVED_PREFIX))
            .map(|(name, value)| Self {
                name: name.to_string(),
                value: value.as_bytes().to_vec(),
            })
            .collect()
    }
}
