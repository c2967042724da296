//! Protobuf encoding of reports on requests that crash servers.

use crate::prelude::*;

#[derive(prost::Message)]
pub(crate) struct SuspectReportWire {
    /// Identity of the content: 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    identity: Vec<u8>,
    #[prost(fixed64, tag = "2")]
    target: u64,
    #[prost(bool, tag = "3")]
    is_keyed: bool,
    #[prost(fixed64, tag = "4")]
    server: u64,
    #[prost(uint32, tag = "5")]
    verdict: u32,
}

/// A report that cannot be read.
#[derive(Debug)]
pub(crate) struct UnreadableReport;

impl From<SuspectReport> for SuspectReportWire {
    fn from(report: SuspectReport) -> Self {
        Self {
            identity: report.identity.0.to_be_bytes().to_vec(),
            target: report.target.0,
            is_keyed: report.is_keyed,
            server: report.server.0,
            verdict: match report.verdict {
                CrashVerdict::Crashed => 0,
                CrashVerdict::Answered => 1,
            },
        }
    }
}

impl TryFrom<SuspectReportWire> for SuspectReport {
    type Error = UnreadableReport;

    fn try_from(wire: SuspectReportWire) -> Result<Self, Self::Error> {
        let identity = wire.identity.try_into().map_err(|_| UnreadableReport)?;
        Ok(Self {
            identity: RequestIdentity(u128::from_be_bytes(identity)),
            target: TargetHash(wire.target),
            is_keyed: wire.is_keyed,
            server: IncarnationHash(wire.server),
            verdict: match wire.verdict {
                0 => CrashVerdict::Crashed,
                1 => CrashVerdict::Answered,
                _ => return Err(UnreadableReport),
            },
        })
    }
}
