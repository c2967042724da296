//! What one mirror of the store's objects lacks of another.

use crate::{patch_history::PatchedObject, prelude::*};

/// Difference between two mirrors in the objects of one kind.
pub(crate) struct MirrorDelta {
    pub(crate) kind: ObjectKind,
    pub(crate) synced_revision: StoreRevision,
    pub(crate) latest_revision: StoreRevision,
    /// Objects that still exist, of those that the receiver knows.
    pub(crate) remaining: RemainingObjects,
    /// Objects that changed after the receiver's synced revision.
    pub(crate) changed: Vec<PlatformObject>,
    /// Those of them that are given by their differences from an earlier revision.
    pub(crate) patched: Vec<PatchedObject>,
}

impl MirrorDelta {
    /// Takes revisions that were sent without an era to be of the given one.
    pub(crate) fn assume_era(&mut self, era: u64) {
        self.synced_revision = self.synced_revision.or_era(era);
        self.latest_revision = self.latest_revision.or_era(era);
        for object in &mut self.changed {
            object.revision = object.revision.or_era(era);
        }
        let steps = self.patched.iter_mut().flat_map(|object| &mut object.steps);
        for step in steps {
            step.base = step.base.or_era(era);
            step.revision = step.revision.or_era(era);
        }
        if let RemainingObjects::AllExcept(removed) = &mut self.remaining {
            for (revision, _) in removed {
                *revision = revision.or_era(era);
            }
        }
    }
}

/// Which of the receiver's objects still exist.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RemainingObjects {
    /// Only the objects with these names.
    Listed(Vec<String>),
    /// All objects except these, given with the revisions of their removal.
    AllExcept(Vec<(StoreRevision, String)>),
}

/// Result of comparing a delta from another instance with the local mirror.
pub(crate) enum DeltaOutcome {
    /// The delta brings this update.
    Update(StoreUpdate),
    /// The mirror already has all changes of the delta.
    UpToDate,
    /// The delta names an object that is neither in it nor in the mirror.
    Incomplete,
}

/// Update by changed and removed objects, up to a revision.
pub(crate) fn changes_from(
    changed: Vec<PlatformObject>,
    removed: Vec<(StoreRevision, String)>,
    revision: StoreRevision,
) -> DeltaOutcome {
    let changed = changed.into_iter().map(|object| ObjectEvent {
        object,
        is_removed: false,
    });
    let removed = removed.into_iter().map(|(revision, name)| ObjectEvent {
        object: PlatformObject {
            name,
            revision,
            spec: serde_json::Value::Null,
            status: serde_json::Value::Null,
        },
        is_removed: true,
    });
    let mut events: Vec<ObjectEvent> = changed.chain(removed).collect();
    events.sort_by_key(|event| event.object.revision);
    DeltaOutcome::Update(StoreUpdate::Changes(ObjectChanges { events, revision }))
}
