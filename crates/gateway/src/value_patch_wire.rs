//! Protobuf messages of the differences between two JSON values.

use crate::value_patch::{ArrayStep, ObjectPatch, ValuePatch};
use serde_json::Value;

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ValuePatchWire {
    #[prost(oneof = "PatchKindWire", tags = "1, 2, 3")]
    kind: Option<PatchKindWire>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum PatchKindWire {
    /// The value as JSON text.
    #[prost(string, tag = "1")]
    Replace(String),
    #[prost(message, tag = "2")]
    Object(ObjectPatchWire),
    #[prost(message, tag = "3")]
    Array(ArrayPatchWire),
}

#[derive(Clone, PartialEq, prost::Message)]
struct ObjectPatchWire {
    #[prost(message, repeated, tag = "1")]
    changed: Vec<FieldPatchWire>,
    #[prost(string, repeated, tag = "2")]
    removed: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct FieldPatchWire {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(message, optional, tag = "2")]
    patch: Option<ValuePatchWire>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ArrayPatchWire {
    #[prost(message, repeated, tag = "1")]
    steps: Vec<ArrayStepWire>,
}

/// A step that inserts has `inserted`, one that changes an element `patch`, and one that keeps some
/// neither.
#[derive(Clone, PartialEq, prost::Message)]
struct ArrayStepWire {
    #[prost(uint64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    count: u64,
    /// An array as JSON text.
    #[prost(string, optional, tag = "3")]
    inserted: Option<String>,
    #[prost(message, optional, tag = "4")]
    patch: Option<ValuePatchWire>,
}

/// A patch that cannot be read.
#[derive(Debug)]
pub(crate) struct UnreadablePatch;

impl From<&ValuePatch> for ValuePatchWire {
    fn from(patch: &ValuePatch) -> Self {
        let kind = match patch {
            ValuePatch::Replace(value) => PatchKindWire::Replace(value.to_string()),
            ValuePatch::Object(patch) => PatchKindWire::Object(ObjectPatchWire {
                changed: patch
                    .changed
                    .iter()
                    .map(|(name, patch)| FieldPatchWire {
                        name: name.clone(),
                        patch: Some(patch.into()),
                    })
                    .collect(),
                removed: patch.removed.clone(),
            }),
            ValuePatch::Array(steps) => PatchKindWire::Array(ArrayPatchWire {
                steps: steps.iter().map(ArrayStepWire::from).collect(),
            }),
        };
        Self { kind: Some(kind) }
    }
}

impl From<&ArrayStep> for ArrayStepWire {
    fn from(step: &ArrayStep) -> Self {
        let mut wire = Self::default();
        match step {
            ArrayStep::Keep { from, count } => {
                (wire.from, wire.count) = (*from as u64, *count as u64);
            }
            ArrayStep::Change { from, patch } => {
                (wire.from, wire.patch) = (*from as u64, Some(patch.into()));
            }
            ArrayStep::Insert(values) => {
                wire.inserted = Some(Value::from(values.clone()).to_string());
            }
        }
        wire
    }
}

impl TryFrom<ValuePatchWire> for ValuePatch {
    type Error = UnreadablePatch;

    fn try_from(wire: ValuePatchWire) -> Result<Self, UnreadablePatch> {
        Ok(match wire.kind.ok_or(UnreadablePatch)? {
            PatchKindWire::Replace(text) => Self::Replace(parse(&text)?),
            PatchKindWire::Object(wire) => {
                let mut patch = ObjectPatch {
                    removed: wire.removed,
                    ..ObjectPatch::default()
                };
                for field in wire.changed {
                    let difference = field.patch.ok_or(UnreadablePatch)?.try_into()?;
                    patch.changed.insert(field.name, difference);
                }
                Self::Object(patch)
            }
            PatchKindWire::Array(wire) => {
                let steps = wire.steps.into_iter().map(ArrayStep::try_from);
                Self::Array(steps.collect::<Result<_, _>>()?)
            }
        })
    }
}

impl TryFrom<ArrayStepWire> for ArrayStep {
    type Error = UnreadablePatch;

    fn try_from(wire: ArrayStepWire) -> Result<Self, UnreadablePatch> {
        let from = wire.from.try_into().map_err(|_| UnreadablePatch)?;
        let count = wire.count.try_into().map_err(|_| UnreadablePatch)?;
        Ok(match (wire.inserted, wire.patch) {
            (Some(text), _) => match parse(&text)? {
                Value::Array(values) => Self::Insert(values),
                _ => return Err(UnreadablePatch),
            },
            (None, Some(patch)) => Self::Change {
                from,
                patch: patch.try_into()?,
            },
            (None, None) => Self::Keep { from, count },
        })
    }
}

fn parse(text: &str) -> Result<Value, UnreadablePatch> {
    serde_json::from_str(text).map_err(|_| UnreadablePatch)
}
