//! Protobuf messages of objects that are sent by their differences.

use crate::{
    patch_history::{PatchStep, PatchedObject},
    prelude::*,
};

#[derive(prost::Message)]
pub(crate) struct PatchedObjectWire {
    #[prost(string, tag = "1")]
    name: String,
    /// The status as JSON text.
    #[prost(string, tag = "2")]
    status: String,
    #[prost(message, repeated, tag = "3")]
    steps: Vec<PatchStepWire>,
}

#[derive(prost::Message)]
struct PatchStepWire {
    #[prost(uint64, tag = "1")]
    base: u64,
    #[prost(uint64, tag = "2")]
    base_era: u64,
    #[prost(uint64, tag = "3")]
    revision: u64,
    #[prost(uint64, tag = "4")]
    era: u64,
    #[prost(fixed64, tag = "5")]
    digest: u64,
    #[prost(bytes = "bytes", tag = "6")]
    patch: Bytes,
}

impl From<PatchedObject> for PatchedObjectWire {
    fn from(object: PatchedObject) -> Self {
        let steps = object.steps.into_iter().map(|step| PatchStepWire {
            base: step.base.number,
            base_era: step.base.era,
            revision: step.revision.number,
            era: step.revision.era,
            digest: step.digest,
            patch: step.patch,
        });
        Self {
            name: object.name,
            status: object.status.to_string(),
            steps: steps.collect(),
        }
    }
}

impl TryFrom<PatchedObjectWire> for PatchedObject {
    type Error = serde_json::Error;

    fn try_from(wire: PatchedObjectWire) -> Result<Self, serde_json::Error> {
        let steps = wire.steps.into_iter().map(|step| PatchStep {
            base: StoreRevision::new(step.base_era, step.base),
            revision: StoreRevision::new(step.era, step.revision),
            digest: step.digest,
            patch: step.patch,
        });
        Ok(Self {
            name: wire.name,
            status: serde_json::from_str(&wire.status)?,
            steps: steps.collect(),
        })
    }
}
