//! Changes of key records as parts of a datagram.

use crate::{peer_beat::DeltaBeat, prelude::*};

/// A change and the revisions that it lies between.
#[derive(prost::Message)]
pub(crate) struct DeltaWire {
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
    #[prost(uint32, repeated, tag = "7")]
    merges: Vec<u32>,
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

impl From<DeltaBeat> for DeltaWire {
    fn from(beat: DeltaBeat) -> Self {
        let moves = beat.delta.moves.into_iter().map(|step| MoveWire {
            first: u32::from(step.first),
            last: u32::from(step.last),
            owner: step.owner.id,
            born: step.owner.born,
            released: step.previous_released,
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
            forgets_former: beat.delta.clears_former,
            merges: beat.delta.merges.into_iter().map(u32::from).collect(),
        }
    }
}

impl TryFrom<DeltaWire> for DeltaBeat {
    type Error = std::num::TryFromIntError;

    fn try_from(wire: DeltaWire) -> Result<Self, Self::Error> {
        let merges: Result<Vec<u16>, _> = wire.merges.into_iter().map(u16::try_from).collect();
        let mut delta = RecordDelta {
            merges: merges?,
            clears_former: wire.forgets_former,
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
                previous_released: step.released,
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
