//! Identity of a request's content, the same each time that the request is sent.

use crate::prelude::*;
use sha2::{Digest, Sha256};
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64;

/// Parts of a request that do not change when it is sent again.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request is for.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Credentials of the caller, if it sends any.
    pub credentials: &'a [u8],
    /// Key, for services whose servers own keys.
    pub key: Option<u16>,
    /// Complete body.
    pub body: &'a [u8],
}

/// Digest of a request's content. It is cryptographic, so that no caller can have the requests of
/// another one mistaken for its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestIdentity(pub u128);

/// Hash of a request's path and query, to rule most requests out before their bodies are hashed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TargetHash(pub u64);

impl TargetHash {
    /// Hashes a path with its query.
    pub fn of(target: &str) -> Self {
        Self(xxh3_64(target.as_bytes()))
    }
}

impl From<RequestContent<'_>> for RequestIdentity {
    fn from(content: RequestContent<'_>) -> Self {
        Self::with_blocks(content, &[] as &[&[u8]])
    }
}

impl RequestIdentity {
    /// Identity of a request whose body is `content.body` and, after it, these blocks. It is the
    /// same as with the whole body in one piece.
    pub fn with_blocks(content: RequestContent<'_>, blocks: &[impl AsRef<[u8]>]) -> Self {
        let key = content.key.map(|key| key.to_string()).unwrap_or_default();
        let parts = [
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.target.as_bytes(),
            content.credentials,
            key.as_bytes(),
        ];
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let in_blocks: usize = blocks.iter().map(|block| block.as_ref().len()).sum();
        hasher.update(((content.body.len() + in_blocks) as u64).to_le_bytes());
        hasher.update(content.body);
        for block in blocks {
            hasher.update(block.as_ref());
        }
        let digest = hasher.finalize();
        let mut first_half = [0; 16];
        first_half.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(first_half))
    }
}

impl Display for RequestIdentity {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestIdentity {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
