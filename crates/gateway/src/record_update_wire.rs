//! Protobuf encoding of changes of key records within a heartbeat.

use crate::{peer_heartbeat::RecordUpdate, prelude::*};

/// Change of a key record, with the revisions before and after it.
#[derive(prost::Message)]
pub(crate) struct RecordUpdateWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    base_revision: u64,
    #[prost(uint64, tag = "3")]
    revision: u64,
    #[prost(message, repeated, tag = "4")]
    moves: Vec<RangeMoveWire>,
    #[prost(message, repeated, tag = "5")]
    settles: Vec<SettledRangeWire>,
    #[prost(bool, tag = "6")]
    clears_former: bool,
    #[prost(uint32, repeated, tag = "7")]
    merges: Vec<u32>,
    #[prost(message, optional, tag = "8")]
    supporters: Option<SupporterListWire>,
    /// Era of both revisions; missing from builds that know of none.
    #[prost(uint64, tag = "9")]
    era: u64,
    #[prost(uint32, repeated, tag = "10")]
    raises: Vec<u32>,
}

#[derive(prost::Message)]
struct SupporterListWire {
    #[prost(message, repeated, tag = "1")]
    supporters: Vec<InstanceWire>,
}

#[derive(prost::Message)]
struct InstanceWire {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
}

#[derive(prost::Message)]
struct RangeMoveWire {
    #[prost(uint32, tag = "1")]
    first: u32,
    #[prost(uint32, tag = "2")]
    last: u32,
    #[prost(string, tag = "3")]
    owner: String,
    #[prost(uint64, tag = "4")]
    born: u64,
    #[prost(bool, tag = "5")]
    previous_released: bool,
}

#[derive(prost::Message)]
struct SettledRangeWire {
    #[prost(uint32, tag = "1")]
    first: u32,
    #[prost(uint64, tag = "2")]
    fence: u64,
}

impl From<Vec<InstanceIncarnation>> for SupporterListWire {
    fn from(supporters: Vec<InstanceIncarnation>) -> Self {
        let supporters = supporters.into_iter().map(|supporter| InstanceWire {
            instance: supporter.instance,
            incarnation: supporter.incarnation,
        });
        Self {
            supporters: supporters.collect(),
        }
    }
}

impl From<SupporterListWire> for Vec<InstanceIncarnation> {
    fn from(wire: SupporterListWire) -> Self {
        let supporters = wire.supporters.into_iter();
        let to_incarnation = |wire: InstanceWire| InstanceIncarnation {
            instance: wire.instance,
            incarnation: wire.incarnation,
        };
        supporters.map(to_incarnation).collect()
    }
}

impl From<RecordUpdate> for RecordUpdateWire {
    fn from(update: RecordUpdate) -> Self {
        let moves = update.delta.moves.into_iter().map(|step| RangeMoveWire {
            first: u32::from(step.first),
            last: u32::from(step.last),
            owner: step.owner.id,
            born: step.owner.born,
            previous_released: step.previous_released,
        });
        let settles = update
            .delta
            .settles
            .into_iter()
            .map(|(first, fence)| SettledRangeWire {
                first: u32::from(first),
                fence,
            });
        Self {
            service: update.service,
            base_revision: update.base_revision.number,
            revision: update.revision.number,
            era: update.revision.era,
            moves: moves.collect(),
            settles: settles.collect(),
            clears_former: update.delta.clears_former,
            supporters: update.delta.supporters.map(SupporterListWire::from),
            merges: update.delta.merges.into_iter().map(u32::from).collect(),
            raises: update.delta.raises.into_iter().map(u32::from).collect(),
        }
    }
}

impl TryFrom<RecordUpdateWire> for RecordUpdate {
    type Error = std::num::TryFromIntError;

    fn try_from(wire: RecordUpdateWire) -> Result<Self, Self::Error> {
        let merges: Result<Vec<u16>, _> = wire.merges.into_iter().map(u16::try_from).collect();
        let raises: Result<Vec<u16>, _> = wire.raises.into_iter().map(u16::try_from).collect();
        let mut delta = RecordDelta {
            raises: raises?,
            merges: merges?,
            clears_former: wire.clears_former,
            supporters: wire.supporters.map(Vec::from),
            ..RecordDelta::default()
        };
        for step in wire.moves {
            delta.moves.push(RangeMove {
                first: u16::try_from(step.first)?,
                last: u16::try_from(step.last)?,
                owner: ServerIncarnation {
                    id: step.owner,
                    born: step.born,
                },
                previous_released: step.previous_released,
            });
        }
        for settle in wire.settles {
            delta
                .settles
                .push((u16::try_from(settle.first)?, settle.fence));
        }
        Ok(Self {
            service: wire.service,
            base_revision: StoreRevision::new(wire.era, wire.base_revision),
            revision: StoreRevision::new(wire.era, wire.revision),
            delta,
        })
    }
}
