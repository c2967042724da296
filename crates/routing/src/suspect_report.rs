//! What instances tell each other of requests under which servers crashed.

use crate::prelude::*;

/// One crash of a server under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// Content of the request.
    pub identity: RequestIdentity,
    /// Hash of its path and query.
    pub target: TargetHash,
    /// Whether the request carries a key.
    pub is_keyed: bool,
    /// Server that crashed.
    pub server: IncarnationHash,
    /// What is known of the crash by now.
    pub verdict: CrashVerdict,
}

/// What is known of a crash; a later variant replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashVerdict {
    /// The server's connection ended under the request, and the server has gone.
    Crashed,
    /// A server has answered the request, which therefore crashes none.
    Answered,
}

/// Hash that identifies an incarnation of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct IncarnationHash(pub u64);

impl IncarnationHash {
    /// Hash of the next start of the same server.
    pub(crate) fn next_start(self) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(&self.0.to_le_bytes()))
    }
}

impl From<&ServerIncarnation> for IncarnationHash {
    fn from(incarnation: &ServerIncarnation) -> Self {
        let text = incarnation.to_string();
        Self(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
    }
}
