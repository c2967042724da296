//! Guess of a part's leader when the leader on its record does not answer.

use crate::prelude::*;

/// Member of a part that is tried as its leader until a newer record arrives or it fails too.
#[derive(Clone, Debug)]
pub(crate) struct LeaderHint {
    edition: u64,
    position: usize,
}

impl LeaderHint {
    /// Hint at the member that follows `failed`, which did not answer as leader.
    pub(crate) fn after_failure(record: &PartRecord, failed: &InstanceId) -> Self {
        let members = record.members();
        let position = members.iter().position(|member| member == failed);
        Self {
            edition: record.edition,
            position: position.map_or(0, |position| (position + 1) % members.len()),
        }
    }

    /// Instance to try as the leader of the part of `record`.
    pub(crate) fn leader(hint: Option<&Self>, record: &PartRecord) -> InstanceId {
        match hint {
            Some(hint) if hint.edition == record.edition && hint.position > 0 => record
                .standbys
                .get(hint.position - 1)
                .unwrap_or(&record.leader)
                .clone(),
            _ => record.leader.clone(),
        }
    }
}
