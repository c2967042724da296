//! Heartbeats as datagrams.

use crate::{
    delta_wire::DeltaWire,
    peer_beat::{DeltaBeat, GrantedBeat, LeadBeat, PaceBeat, PeerBeat, SampleBeat},
    prelude::*,
};

#[derive(prost::Message)]
struct BeatWire {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(bool, tag = "3")]
    is_stopping: bool,
    #[prost(uint64, repeated, tag = "4")]
    revisions: Vec<u64>,
    #[prost(uint32, tag = "5")]
    heard: u32,
    #[prost(message, repeated, tag = "6")]
    leads: Vec<LeadWire>,
    #[prost(message, repeated, tag = "7")]
    samples: Vec<SampleWire>,
    #[prost(message, repeated, tag = "8")]
    paces: Vec<PaceWire>,
    #[prost(bool, tag = "9")]
    store_lost: bool,
    #[prost(string, repeated, tag = "10")]
    watchers: Vec<String>,
    #[prost(message, repeated, tag = "11")]
    deltas: Vec<DeltaWire>,
    #[prost(message, repeated, tag = "12")]
    granted: Vec<GrantedWire>,
    #[prost(bool, tag = "13")]
    yields: bool,
}

#[derive(prost::Message)]
struct GrantedWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint32, tag = "2")]
    first: u32,
    #[prost(uint64, tag = "3")]
    fence: u64,
}

#[derive(prost::Message)]
struct LeadWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(bool, tag = "3")]
    leads: bool,
    #[prost(uint64, tag = "4")]
    confirmed_ms: u64,
}

#[derive(prost::Message)]
struct SampleWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint32, repeated, tag = "2")]
    keys: Vec<u32>,
    #[prost(uint32, tag = "3")]
    total: u32,
}

#[derive(prost::Message)]
struct PaceWire {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint64, tag = "2")]
    born: u64,
    #[prost(uint32, tag = "3")]
    service_us: u32,
    #[prost(uint32, tag = "4")]
    samples: u32,
}

impl PeerBeat {
    /// The heartbeat as a datagram.
    pub(crate) fn encode(self) -> Vec<u8> {
        prost::Message::encode_to_vec(&BeatWire::from(self))
    }

    /// Heartbeat of a datagram, none if it is not one.
    pub(crate) fn decode(datagram: &[u8]) -> Option<Self> {
        <BeatWire as prost::Message>::decode(datagram)
            .ok()?
            .try_into()
            .ok()
    }
}

impl From<PeerBeat> for BeatWire {
    fn from(beat: PeerBeat) -> Self {
        Self {
            instance: beat.instance,
            incarnation: beat.incarnation,
            is_stopping: beat.is_stopping,
            yields: beat.yields,
            revisions: beat.revisions.to_vec(),
            heard: beat.heard,
            store_lost: beat.store_lost,
            watchers: beat.watchers,
            deltas: beat.deltas.into_iter().map(DeltaWire::from).collect(),
            granted: beat
                .granted
                .into_iter()
                .map(|granted| GrantedWire {
                    service: granted.service,
                    first: u32::from(granted.first),
                    fence: granted.fence,
                })
                .collect(),
            leads: beat
                .leads
                .into_iter()
                .map(|lead| LeadWire {
                    service: lead.service,
                    term: lead.term,
                    leads: lead.leads,
                    confirmed_ms: lead.confirmed_age.as_millis() as u64,
                })
                .collect(),
            samples: beat
                .samples
                .into_iter()
                .map(|sample| SampleWire {
                    service: sample.service,
                    keys: sample.keys.into_iter().map(u32::from).collect(),
                    total: sample.total,
                })
                .collect(),
            paces: beat
                .paces
                .into_iter()
                .map(|pace| PaceWire {
                    server: pace.server.id,
                    born: pace.server.born,
                    service_us: (pace.service_time * 1e6) as u32,
                    samples: pace.samples,
                })
                .collect(),
        }
    }
}

impl TryFrom<BeatWire> for PeerBeat {
    type Error = std::num::TryFromIntError;

    fn try_from(wire: BeatWire) -> Result<Self, Self::Error> {
        let revision = |position| wire.revisions.get(position).copied().unwrap_or_default();
        let mut samples = Vec::with_capacity(wire.samples.len());
        for sample in wire.samples {
            let keys: Result<Vec<u16>, _> = sample.keys.into_iter().map(u16::try_from).collect();
            samples.push(SampleBeat {
                service: sample.service,
                keys: keys?,
                total: sample.total,
            });
        }
        let mut deltas = Vec::with_capacity(wire.deltas.len());
        for delta in wire.deltas {
            deltas.push(DeltaBeat::try_from(delta)?);
        }
        let mut granted = Vec::with_capacity(wire.granted.len());
        for range in wire.granted {
            granted.push(GrantedBeat {
                service: range.service,
                first: u16::try_from(range.first)?,
                fence: range.fence,
            });
        }
        Ok(Self {
            revisions: [revision(0), revision(1), revision(2)],
            instance: wire.instance,
            incarnation: wire.incarnation,
            is_stopping: wire.is_stopping,
            yields: wire.yields,
            heard: wire.heard,
            store_lost: wire.store_lost,
            watchers: wire.watchers,
            deltas,
            granted,
            leads: wire
                .leads
                .into_iter()
                .map(|lead| LeadBeat {
                    service: lead.service,
                    term: lead.term,
                    leads: lead.leads,
                    confirmed_age: Duration::from_millis(lead.confirmed_ms),
                })
                .collect(),
            samples,
            paces: wire
                .paces
                .into_iter()
                .map(|pace| PaceBeat {
                    server: ServerIncarnation {
                        id: pace.server,
                        born: pace.born,
                    },
                    service_time: f64::from(pace.service_us) / 1e6,
                    samples: pace.samples,
                })
                .collect(),
        })
    }
}
