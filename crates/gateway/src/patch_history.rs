//! The latest changes of one object, each as the difference from the revision before.
//!
//! An instance sends another one the differences since the revision that it has, instead of the
//! whole object. The digest of the result shows whether both have the same.

use crate::{prelude::*, value_patch::ValuePatch, value_patch_wire::ValuePatchWire};
use serde_json::Value;
use std::{borrow::Cow, collections::VecDeque, io};
use xxhash_rust::xxh3::Xxh3;

/// Difference between two revisions of an object's specification.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PatchStep {
    /// Revision that the difference applies to.
    pub(crate) base: StoreRevision,
    /// Revision that it leads to.
    pub(crate) revision: StoreRevision,
    /// Digest of the specification that it leads to.
    pub(crate) digest: u64,
    /// Encoded [`ValuePatchWire`]; empty if the specification stays as it is.
    pub(crate) patch: Bytes,
}

/// An object by its differences from an earlier revision.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PatchedObject {
    pub(crate) name: String,
    pub(crate) status: Value,
    /// Differences, each of which applies to the result of the one before.
    pub(crate) steps: Vec<PatchStep>,
}

/// Digest and length of a value as text.
#[derive(Default)]
struct TextDigest {
    hasher: Xxh3,
    length: usize,
}

impl io::Write for TextDigest {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.hasher.update(text);
        self.length += text.len();
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl TextDigest {
    fn of(value: &Value) -> Self {
        let mut digest = Self::default();
        // The hasher takes all bytes, and the keys of JSON objects are strings: this cannot fail.
        let _ = serde_json::to_writer(&mut digest, value);
        digest
    }
}

impl PatchStep {
    /// Difference between two states of an object; `None` if it is no shorter than the object.
    fn between(base: &PlatformObject, next: &PlatformObject) -> Option<Self> {
        let digest = TextDigest::of(&next.spec);
        let patch = ValuePatch::between(&base.spec, &next.spec);
        let wire = patch.as_ref().map(ValuePatchWire::from);
        let patch = prost::Message::encode_to_vec(&wire.unwrap_or_default());
        (patch.len() < digest.length).then(|| Self {
            base: base.revision,
            revision: next.revision,
            digest: digest.hasher.digest(),
            patch: patch.into(),
        })
    }

    fn apply(&self, base: &Value) -> Option<Value> {
        if self.patch.is_empty() {
            return Some(base.clone());
        }
        let wire = <ValuePatchWire as prost::Message>::decode(self.patch.clone()).ok()?;
        ValuePatch::try_from(wire).ok()?.apply(base)
    }
}

impl PatchedObject {
    /// Revision that the differences lead to.
    pub(crate) fn revision(&self) -> StoreRevision {
        let last = self.steps.last();
        last.map_or(StoreRevision::ZERO, |step| step.revision)
    }

    /// Builds the object from an earlier state; `None` if the differences do not lead from there to
    /// what the sender has.
    pub(crate) fn apply(&self, known: &PlatformObject) -> Option<PlatformObject> {
        let first = self
            .steps
            .iter()
            .position(|step| step.base == known.revision)?;
        let mut spec = Cow::Borrowed(&known.spec);
        for step in &self.steps[first..] {
            spec = Cow::Owned(step.apply(&spec)?);
        }
        let spec = spec.into_owned();
        let last = self.steps.last()?;
        let is_same = TextDigest::of(&spec).hasher.digest() == last.digest;
        is_same.then(|| PlatformObject {
            name: self.name.clone(),
            revision: last.revision,
            spec,
            status: self.status.clone(),
        })
    }
}

/// Differences between successive revisions, oldest first.
#[derive(Default)]
pub(crate) struct PatchHistory {
    steps: VecDeque<PatchStep>,
    bytes: usize,
}

impl PatchHistory {
    /// Largest number of differences kept.
    const MAX_STEPS: usize = 64;
    /// Largest length of all of them, in bytes.
    const MAX_BYTES: usize = 256 << 10;

    /// Adds the difference between two successive states of the object, unless it is known.
    pub(crate) fn record(&mut self, base: &PlatformObject, next: &PlatformObject) {
        if self.latest() == Some(next.revision) {
            return;
        }
        match PatchStep::between(base, next) {
            Some(step) => self.push(step),
            None => *self = Self::default(),
        }
    }

    /// Adds differences that another instance has sent.
    pub(crate) fn extend(&mut self, steps: Vec<PatchStep>) {
        let latest = self.latest();
        let known = steps.iter().position(|step| Some(step.base) == latest);
        let new = steps.into_iter().skip(known.unwrap_or_default());
        new.for_each(|step| self.push(step));
    }

    /// Differences that lead from one revision to another one; `None` if some of them are missing.
    pub(crate) fn between(
        &self,
        base: StoreRevision,
        revision: StoreRevision,
    ) -> Option<Vec<PatchStep>> {
        if self.latest() != Some(revision) {
            return None;
        }
        let first = self.steps.iter().position(|step| step.base == base)?;
        Some(self.steps.iter().skip(first).cloned().collect())
    }

    fn latest(&self) -> Option<StoreRevision> {
        self.steps.back().map(|step| step.revision)
    }

    fn push(&mut self, step: PatchStep) {
        if self.latest().is_some_and(|latest| latest != step.base) {
            *self = Self::default();
        }
        self.bytes += step.patch.len();
        self.steps.push_back(step);
        while self.steps.len() > Self::MAX_STEPS || self.bytes > Self::MAX_BYTES {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.bytes -= oldest.patch.len();
        }
    }
}
