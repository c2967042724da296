//! Protobuf messages with which instances tell leaders of the load of keys and servers.

use crate::{peer_heartbeat::KnownRest, prelude::*};

#[derive(prost::Message)]
pub(crate) struct KnownRestWire {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint64, tag = "2")]
    born: u64,
    #[prost(uint32, tag = "3")]
    left_ms: u32,
}

impl From<KnownRest> for KnownRestWire {
    fn from(rest: KnownRest) -> Self {
        Self {
            server: rest.server.id,
            born: rest.server.born,
            left_ms: u32::try_from(rest.left.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<KnownRestWire> for KnownRest {
    fn from(wire: KnownRestWire) -> Self {
        Self {
            server: ServerIncarnation {
                id: wire.server,
                born: wire.born,
            },
            left: Duration::from_millis(u64::from(wire.left_ms)),
        }
    }
}

#[derive(prost::Message)]
pub(crate) struct KeySamplesWire {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(uint32, repeated, tag = "2")]
    pub(crate) keys: Vec<u32>,
    #[prost(uint32, tag = "3")]
    pub(crate) total: u32,
}

#[derive(prost::Message)]
pub(crate) struct ServiceTimeWire {
    #[prost(string, tag = "1")]
    pub(crate) server: String,
    #[prost(uint64, tag = "2")]
    pub(crate) born: u64,
    #[prost(uint32, tag = "3")]
    pub(crate) service_us: u32,
    #[prost(uint32, tag = "4")]
    pub(crate) samples: u32,
}
