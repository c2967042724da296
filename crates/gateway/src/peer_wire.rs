//! Heartbeats between instances, one datagram each.

use crate::prelude::*;

/// What an instance tells another one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PeerBeat {
    /// Name of the sender.
    pub(crate) instance: String,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub(crate) incarnation: u64,
    /// Whether it is about to end.
    pub(crate) is_stopping: bool,
    /// Newest revision it knows of servers, configuration and records.
    pub(crate) revisions: [u64; 3],
    /// Instances that it hears, itself included.
    pub(crate) heard: u32,
    /// Whether the store does not answer it.
    pub(crate) store_lost: bool,
    /// Of a leader: instances that should watch the store; none when all should.
    pub(crate) watchers: Vec<String>,
    /// How it stands to each keyed service.
    pub(crate) leads: Vec<LeadBeat>,
    /// Of a leader: changes of key records that it has just written.
    pub(crate) deltas: Vec<DeltaBeat>,
    /// Of a leader: ranges on their way that their owners hold already.
    pub(crate) granted: Vec<GrantedBeat>,
    /// Keys of requests since its last heartbeat.
    pub(crate) samples: Vec<SampleBeat>,
    /// How fast it found servers.
    pub(crate) paces: Vec<PaceBeat>,
}

/// How an instance stands to a keyed service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LeadBeat {
    pub(crate) service: String,
    pub(crate) term: u64,
    pub(crate) leads: bool,
    /// Time since the store confirmed the leader.
    pub(crate) confirmed_age: Duration,
}

/// A change of a key record.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DeltaBeat {
    pub(crate) service: String,
    /// Revision of the record before it.
    pub(crate) base: u64,
    /// Revision of the record after it.
    pub(crate) revision: u64,
    pub(crate) delta: RecordDelta,
}

/// A range on its way that its owner holds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GrantedBeat {
    pub(crate) service: String,
    pub(crate) first: u16,
    pub(crate) fence: u64,
}

/// Keys of recent requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SampleBeat {
    pub(crate) service: String,
    pub(crate) keys: Vec<u16>,
    pub(crate) total: u32,
}

/// Service time of one server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PaceBeat {
    pub(crate) server: ServerMark,
    /// Mean time that a request runs, in seconds.
    pub(crate) service_time: f64,
    pub(crate) samples: u32,
}

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
}

#[derive(prost::Message)]
struct DeltaWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    base: u64,
    #[prost(uint64, tag = "3")]
    revision: u64,
    #[prost(message, repeated, tag = "4")]
    moves: Vec<MoveWire>,
    #[prost(message, repeated, tag = "5")]
    settles: Vec<SettleWire>,
    #[prost(bool, tag = "6")]
    forgets_former: bool,
}

#[derive(prost::Message)]
struct MoveWire {
    #[prost(uint32, tag = "1")]
    first: u32,
    #[prost(uint32, tag = "2")]
    last: u32,
    #[prost(string, tag = "3")]
    owner: String,
    #[prost(uint64, tag = "4")]
    born: u64,
    #[prost(bool, tag = "5")]
    released: bool,
}

#[derive(prost::Message)]
struct SettleWire {
    #[prost(uint32, tag = "1")]
    first: u32,
    #[prost(uint64, tag = "2")]
    fence: u64,
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
                    server: ServerMark {
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

impl From<DeltaBeat> for DeltaWire {
    fn from(beat: DeltaBeat) -> Self {
        let moves = beat.delta.moves.into_iter().map(|step| MoveWire {
            first: u32::from(step.first),
            last: u32::from(step.last),
            owner: step.owner.id,
            born: step.owner.born,
            released: step.released,
        });
        let settles = beat
            .delta
            .settles
            .into_iter()
            .map(|(first, fence)| SettleWire {
                first: u32::from(first),
                fence,
            });
        Self {
            service: beat.service,
            base: beat.base,
            revision: beat.revision,
            moves: moves.collect(),
            settles: settles.collect(),
            forgets_former: beat.delta.forgets_former,
        }
    }
}

impl TryFrom<DeltaWire> for DeltaBeat {
    type Error = std::num::TryFromIntError;

    fn try_from(wire: DeltaWire) -> Result<Self, Self::Error> {
        let mut delta = RecordDelta {
            forgets_former: wire.forgets_former,
            ..RecordDelta::default()
        };
        for step in wire.moves {
            delta.moves.push(RangeMove {
                first: u16::try_from(step.first)?,
                last: u16::try_from(step.last)?,
                owner: ServerMark {
                    id: step.owner,
                    born: step.born,
                },
                released: step.released,
            });
        }
        for settle in wire.settles {
            delta
                .settles
                .push((u16::try_from(settle.first)?, settle.fence));
        }
        Ok(Self {
            service: wire.service,
            base: wire.base,
            revision: wire.revision,
            delta,
        })
    }
}
