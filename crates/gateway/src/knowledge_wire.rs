//! Protobuf message with which instances tell each other the age of their knowledge.

use crate::prelude::*;

#[derive(Clone, Copy, prost::Message)]
pub(crate) struct KnowledgeWire {
    #[prost(uint64, tag = "1")]
    age_us: u64,
    #[prost(uint32, tag = "2")]
    hops: u32,
}

impl From<KnowledgeReport> for KnowledgeWire {
    fn from(report: KnowledgeReport) -> Self {
        Self {
            age_us: u64::try_from(report.age.as_micros()).unwrap_or(u64::MAX),
            hops: report.hops as u32,
        }
    }
}

impl From<KnowledgeWire> for KnowledgeReport {
    fn from(wire: KnowledgeWire) -> Self {
        Self {
            age: Duration::from_micros(wire.age_us),
            hops: wire.hops as usize,
        }
    }
}
