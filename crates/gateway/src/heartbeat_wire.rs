//! Protobuf encoding of heartbeats, one datagram each.

use crate::{
    era_wire::EraWire,
    knowledge_wire::KnowledgeWire,
    leadership_wire::{GrantedRangeWire, LeadershipWire},
    limit_wire::{ColdServerWire, KnownLimitWire},
    load_report_wire::{KeySamplesWire, KnownRestWire, ServiceTimeWire},
    peer_heartbeat::{
        GrantedRange, KeySamples, LeadershipStatus, PeerHeartbeat, RecordUpdate, ServiceTimeReport,
    },
    prelude::*,
    record_update_wire::RecordUpdateWire,
    revisions_wire::{eras, known_kinds, numbers, with_eras},
    suspect_report_wire::SuspectReportWire,
};

/// Largest datagram that is sent and accepted, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 8_192;

#[derive(prost::Message)]
pub(crate) struct HeartbeatWire {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(bool, tag = "3")]
    is_stopping: bool,
    #[prost(uint64, repeated, tag = "4")]
    revisions: Vec<u64>,
    #[prost(uint32, tag = "5")]
    live_count: u32,
    #[prost(message, repeated, tag = "6")]
    leaderships: Vec<LeadershipWire>,
    #[prost(message, repeated, tag = "7")]
    pub(crate) key_samples: Vec<KeySamplesWire>,
    #[prost(message, repeated, tag = "8")]
    pub(crate) service_times: Vec<ServiceTimeWire>,
    #[prost(bool, tag = "9")]
    store_lost: bool,
    #[prost(string, repeated, tag = "10")]
    watchers: Vec<String>,
    #[prost(message, repeated, tag = "11")]
    pub(crate) record_updates: Vec<RecordUpdateWire>,
    #[prost(message, repeated, tag = "12")]
    pub(crate) granted_ranges: Vec<GrantedRangeWire>,
    #[prost(bool, tag = "13")]
    yields: bool,
    #[prost(message, repeated, tag = "14")]
    pub(crate) limits: Vec<KnownLimitWire>,
    #[prost(message, repeated, tag = "15")]
    pub(crate) suspects: Vec<SuspectReportWire>,
    #[prost(bool, tag = "16")]
    servers_lost: bool,
    #[prost(string, repeated, tag = "17")]
    pub(crate) isolated: Vec<String>,
    #[prost(message, repeated, tag = "18")]
    pub(crate) leaving: Vec<IncarnationWire>,
    #[prost(uint64, tag = "19")]
    sent_at_us: u64,
    #[prost(message, optional, tag = "20")]
    knowledge: Option<KnowledgeWire>,
    #[prost(message, repeated, tag = "21")]
    pub(crate) rests: Vec<KnownRestWire>,
    #[prost(bool, tag = "22")]
    store_unstable: bool,
    /// Eras of the revisions; missing from builds that know of none.
    #[prost(uint64, repeated, tag = "23")]
    eras: Vec<u64>,
    #[prost(message, optional, tag = "24")]
    era: Option<EraWire>,
    /// Updates with raised fences: builds that would overlook the fences overlook these updates, and read
    /// the record.
    #[prost(message, repeated, tag = "25")]
    pub(crate) raising_updates: Vec<RecordUpdateWire>,
    #[prost(message, repeated, tag = "26")]
    pub(crate) cold: Vec<ColdServerWire>,
}

#[derive(prost::Message)]
pub(crate) struct IncarnationWire {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint64, tag = "2")]
    born: u64,
}

impl PeerHeartbeat {
    /// Encodes the heartbeat as a datagram, without what does not fit.
    pub(crate) fn encode(self) -> Vec<u8> {
        let wire = HeartbeatWire::from(self).cut(MAX_DATAGRAM_BYTES);
        prost::Message::encode_to_vec(&wire)
    }

    /// Decodes a datagram; `None` if it is not a valid heartbeat.
    pub(crate) fn decode(datagram: &[u8]) -> Option<Self> {
        <HeartbeatWire as prost::Message>::decode(datagram)
            .ok()?
            .try_into()
            .ok()
    }
}

impl From<PeerHeartbeat> for HeartbeatWire {
    fn from(heartbeat: PeerHeartbeat) -> Self {
        let (raising_updates, record_updates): (Vec<_>, Vec<_>) = heartbeat
            .record_updates
            .into_iter()
            .partition(|update| !update.delta.raises.is_empty());
        Self {
            instance: heartbeat.instance,
            incarnation: heartbeat.incarnation,
            is_stopping: heartbeat.is_stopping,
            yields: heartbeat.yields,
            revisions: numbers(known_kinds(&heartbeat.revisions)),
            eras: eras(known_kinds(&heartbeat.revisions)),
            era: heartbeat.era.map(EraWire::from),
            live_count: heartbeat.live_count,
            store_lost: heartbeat.store_lost,
            store_unstable: heartbeat.store_unstable,
            servers_lost: heartbeat.servers_lost,
            isolated: heartbeat.isolated,
            sent_at_us: heartbeat.sent_at.0,
            knowledge: heartbeat.knowledge.map(KnowledgeWire::from),
            rests: heartbeat.rests.into_iter().map(Into::into).collect(),
            watchers: heartbeat.watchers,
            record_updates: record_updates
                .into_iter()
                .map(RecordUpdateWire::from)
                .collect(),
            raising_updates: raising_updates
                .into_iter()
                .map(RecordUpdateWire::from)
                .collect(),
            granted_ranges: heartbeat
                .granted_ranges
                .into_iter()
                .map(|range| GrantedRangeWire {
                    service: range.service,
                    first: u32::from(range.first),
                    fence: range.fence,
                })
                .collect(),
            limits: heartbeat.limits.into_iter().map(Into::into).collect(),
            cold: heartbeat.cold.into_iter().map(Into::into).collect(),
            leaving: heartbeat
                .leaving
                .into_iter()
                .map(|server| IncarnationWire {
                    server: server.id,
                    born: server.born,
                })
                .collect(),
            suspects: heartbeat.suspects.into_iter().map(Into::into).collect(),
            leaderships: heartbeat
                .leaderships
                .into_iter()
                .map(|status| LeadershipWire {
                    service: status.service,
                    term: status.term,
                    is_leader: status.is_leader,
                    confirmed_ms: status.confirmation_age.as_millis() as u64,
                    leader_heard_at_us: status.leader_heard_at.unwrap_or_default().0,
                })
                .collect(),
            key_samples: heartbeat
                .key_samples
                .into_iter()
                .map(|sample| KeySamplesWire {
                    service: sample.service,
                    keys: sample.keys.into_iter().map(u32::from).collect(),
                    total: sample.total,
                })
                .collect(),
            service_times: heartbeat
                .service_times
                .into_iter()
                .map(|report| ServiceTimeWire {
                    server: report.server.id,
                    born: report.server.born,
                    service_us: (report.service_time * 1e6) as u32,
                    samples: report.samples,
                })
                .collect(),
        }
    }
}

impl TryFrom<HeartbeatWire> for PeerHeartbeat {
    type Error = std::num::TryFromIntError;

    fn try_from(wire: HeartbeatWire) -> Result<Self, Self::Error> {
        let mut key_samples = Vec::with_capacity(wire.key_samples.len());
        for sample in wire.key_samples {
            let keys: Result<Vec<u16>, _> = sample.keys.into_iter().map(u16::try_from).collect();
            key_samples.push(KeySamples {
                service: sample.service,
                keys: keys?,
                total: sample.total,
            });
        }
        let updates = wire.record_updates.into_iter().chain(wire.raising_updates);
        let updates: Result<Vec<RecordUpdate>, _> = updates.map(TryInto::try_into).collect();
        let mut record_updates = updates?;
        // Each one applies to the record that the one before leaves.
        record_updates.sort_by_key(|update| update.revision);
        let mut granted_ranges = Vec::with_capacity(wire.granted_ranges.len());
        for range in wire.granted_ranges {
            granted_ranges.push(GrantedRange {
                service: range.service,
                first: u16::try_from(range.first)?,
                fence: range.fence,
            });
        }
        // A limit that cannot be read is left out; the rest of the heartbeat counts.
        let limits = wire
            .limits
            .into_iter()
            .filter_map(|known| known.try_into().ok());
        let leaving = wire.leaving.into_iter().map(|server| ServerIncarnation {
            id: server.server,
            born: server.born,
        });
        let suspects = wire
            .suspects
            .into_iter()
            .filter_map(|report| report.try_into().ok());
        Ok(Self {
            limits: limits.collect(),
            cold: wire.cold.into_iter().map(Into::into).collect(),
            suspects: suspects.collect(),
            leaving: leaving.collect(),
            revisions: with_eras(&wire.revisions, &wire.eras),
            era: wire.era.map(StoreEra::from),
            instance: wire.instance,
            incarnation: wire.incarnation,
            is_stopping: wire.is_stopping,
            yields: wire.yields,
            live_count: wire.live_count,
            store_lost: wire.store_lost,
            store_unstable: wire.store_unstable,
            servers_lost: wire.servers_lost,
            isolated: wire.isolated,
            sent_at: MonoTime(wire.sent_at_us),
            knowledge: wire.knowledge.map(KnowledgeReport::from),
            rests: wire.rests.into_iter().map(Into::into).collect(),
            watchers: wire.watchers,
            record_updates,
            granted_ranges,
            leaderships: wire
                .leaderships
                .into_iter()
                .map(|status| LeadershipStatus {
                    service: status.service,
                    term: status.term,
                    is_leader: status.is_leader,
                    confirmation_age: Duration::from_millis(status.confirmed_ms),
                    leader_heard_at: match status.leader_heard_at_us {
                        0 => None,
                        heard_at_us => Some(MonoTime(heard_at_us)),
                    },
                })
                .collect(),
            key_samples,
            service_times: wire
                .service_times
                .into_iter()
                .map(|report| ServiceTimeReport {
                    server: ServerIncarnation {
                        id: report.server,
                        born: report.born,
                    },
                    service_time: f64::from(report.service_us) / 1e6,
                    samples: report.samples,
                })
                .collect(),
        })
    }
}
