//! Frames in which instances hand the store's objects on to each other.

use crate::{
    object_mirror::{DeltaRest, MirrorDelta, OBJECT_KINDS, position_of},
    prelude::*,
};

/// What an instance knows already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FeedAsk {
    /// Revisions up to which it knows all, by kind.
    pub(crate) complete: [u64; 3],
    /// Revisions of the last changes that it has seen.
    pub(crate) newest: [u64; 3],
}

#[derive(prost::Message)]
pub(crate) struct AskWire {
    #[prost(uint64, repeated, tag = "1")]
    complete: Vec<u64>,
    #[prost(uint64, repeated, tag = "2")]
    newest: Vec<u64>,
}

#[derive(prost::Message)]
pub(crate) struct ReplyWire {
    #[prost(message, repeated, tag = "1")]
    deltas: Vec<DeltaWire>,
}

#[derive(prost::Message)]
struct DeltaWire {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(uint64, tag = "2")]
    complete: u64,
    #[prost(uint64, tag = "3")]
    newest: u64,
    #[prost(string, repeated, tag = "4")]
    names: Vec<String>,
    #[prost(message, repeated, tag = "5")]
    changed: Vec<ObjectWire>,
    /// Whether `removed` tells what is no longer there, instead of `names` what is.
    #[prost(bool, tag = "6")]
    is_partial: bool,
    #[prost(message, repeated, tag = "7")]
    removed: Vec<RemovedWire>,
}

#[derive(prost::Message)]
struct RemovedWire {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(string, tag = "2")]
    name: String,
}

impl DeltaWire {
    fn set_rest(&mut self, rest: DeltaRest) {
        match rest {
            DeltaRest::Named(names) => self.names = names,
            DeltaRest::Without(removed) => {
                self.is_partial = true;
                let wires = removed
                    .into_iter()
                    .map(|(revision, name)| RemovedWire { revision, name });
                self.removed = wires.collect();
            }
        }
    }

    fn take_rest(&mut self) -> DeltaRest {
        match self.is_partial {
            false => DeltaRest::Named(std::mem::take(&mut self.names)),
            true => DeltaRest::Without(
                std::mem::take(&mut self.removed)
                    .into_iter()
                    .map(|wire| (wire.revision, wire.name))
                    .collect(),
            ),
        }
    }
}

#[derive(prost::Message)]
struct ObjectWire {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(string, tag = "3")]
    spec: String,
    #[prost(string, tag = "4")]
    status: String,
}

impl From<FeedAsk> for AskWire {
    fn from(ask: FeedAsk) -> Self {
        Self {
            complete: ask.complete.to_vec(),
            newest: ask.newest.to_vec(),
        }
    }
}

impl TryFrom<AskWire> for FeedAsk {
    type Error = Vec<u64>;

    fn try_from(wire: AskWire) -> Result<Self, Vec<u64>> {
        Ok(Self {
            complete: wire.complete.try_into()?,
            newest: wire.newest.try_into()?,
        })
    }
}

impl From<Vec<MirrorDelta>> for ReplyWire {
    fn from(deltas: Vec<MirrorDelta>) -> Self {
        let object = |object: PlatformObject| ObjectWire {
            name: object.name,
            revision: object.revision,
            spec: object.spec.to_string(),
            status: object.status.to_string(),
        };
        Self {
            deltas: deltas
                .into_iter()
                .map(|delta| {
                    let mut wire = DeltaWire {
                        kind: position_of(delta.kind) as u32,
                        complete: delta.complete,
                        newest: delta.newest,
                        changed: delta.changed.into_iter().map(object).collect(),
                        ..DeltaWire::default()
                    };
                    wire.set_rest(delta.rest);
                    wire
                })
                .collect(),
        }
    }
}

impl TryFrom<ReplyWire> for Vec<MirrorDelta> {
    type Error = serde_json::Error;

    fn try_from(wire: ReplyWire) -> Result<Self, serde_json::Error> {
        let mut deltas = Vec::with_capacity(wire.deltas.len());
        for mut delta in wire.deltas {
            let Some(kind) = OBJECT_KINDS.get(delta.kind as usize) else {
                continue;
            };
            let rest = delta.take_rest();
            let mut changed = Vec::with_capacity(delta.changed.len());
            for object in delta.changed {
                changed.push(PlatformObject {
                    spec: serde_json::from_str(&object.spec)?,
                    status: serde_json::from_str(&object.status)?,
                    name: object.name,
                    revision: object.revision,
                });
            }
            deltas.push(MirrorDelta {
                kind: *kind,
                complete: delta.complete,
                newest: delta.newest,
                rest,
                changed,
            });
        }
        Ok(deltas)
    }
}
