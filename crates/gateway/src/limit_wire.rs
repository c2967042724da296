//! Protobuf messages with which instances tell each other of servers' limits and of cold servers.

use crate::{
    peer_heartbeat::{ColdServer, KnownLimit},
    prelude::*,
};

#[derive(prost::Message)]
pub(crate) struct KnownLimitWire {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint64, tag = "2")]
    born: u64,
    #[prost(message, optional, tag = "3")]
    report: Option<LimitReportWire>,
}

/// What an instance knows of a server's limit, in a heartbeat or with an ask.
#[derive(prost::Message)]
pub(crate) struct LimitReportWire {
    #[prost(double, optional, tag = "1")]
    per_second: Option<f64>,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

#[derive(prost::Message)]
pub(crate) struct ColdServerWire {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint64, tag = "2")]
    born: u64,
    #[prost(uint32, tag = "3")]
    left_ms: u32,
}

/// Encodes the time for which a server is still cold, in milliseconds.
pub(crate) fn write_cold_time(left: Duration) -> u32 {
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
}

/// Decodes the same time, which is at most an hour, as in discovery entries.
pub(crate) fn read_cold_time(left_ms: u32) -> Duration {
    const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);
    Duration::from_millis(left_ms.into()).min(MAX_COLD_TIME)
}

/// A limit is missing, negative or not finite.
#[derive(Debug)]
pub(crate) struct InvalidLimit;

impl From<KnownLimit> for KnownLimitWire {
    fn from(known: KnownLimit) -> Self {
        Self {
            server: known.server.id,
            born: known.server.born,
            report: Some(known.report.into()),
        }
    }
}

impl TryFrom<KnownLimitWire> for KnownLimit {
    type Error = InvalidLimit;

    fn try_from(wire: KnownLimitWire) -> Result<Self, Self::Error> {
        Ok(Self {
            server: ServerIncarnation {
                id: wire.server,
                born: wire.born,
            },
            report: wire.report.ok_or(InvalidLimit)?.try_into()?,
        })
    }
}

impl From<ColdServer> for ColdServerWire {
    fn from(cold: ColdServer) -> Self {
        Self {
            server: cold.server.id,
            born: cold.server.born,
            left_ms: write_cold_time(cold.left),
        }
    }
}

impl From<ColdServerWire> for ColdServer {
    fn from(wire: ColdServerWire) -> Self {
        Self {
            server: ServerIncarnation {
                id: wire.server,
                born: wire.born,
            },
            left: read_cold_time(wire.left_ms),
        }
    }
}

impl From<LimitReport> for LimitReportWire {
    fn from(report: LimitReport) -> Self {
        Self {
            per_second: report.per_second,
            age_ms: report.age.as_millis() as u64,
        }
    }
}

impl TryFrom<LimitReportWire> for LimitReport {
    type Error = InvalidLimit;

    fn try_from(wire: LimitReportWire) -> Result<Self, Self::Error> {
        let is_valid = |limit: f64| limit.is_finite() && limit >= 0.0;
        if wire.per_second.is_some_and(|limit| !is_valid(limit)) {
            return Err(InvalidLimit);
        }
        Ok(Self {
            per_second: wire.per_second,
            age: Duration::from_millis(wire.age_ms),
        })
    }
}
