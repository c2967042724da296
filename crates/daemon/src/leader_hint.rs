//! Who is thought to lead a part when its record's leader does not answer.

use crate::prelude::*;

/// A guess that stands until a newer record or the next failure.
#[derive(Clone, Debug)]
pub(crate) struct LeaderHint {
    edition: u64,
    position: usize,
}

impl LeaderHint {
    /// Next member of the record's trio after `missed` did not answer.
    pub(crate) fn after_failure(record: &PartRecord, missed: &InstanceId) -> Self {
        let trio = record.members();
        let position = trio.iter().position(|member| member == missed);
        Self {
            edition: record.edition,
            position: position.map_or(0, |position| (position + 1) % trio.len()),
        }
    }

    /// Instance to ask for the part of `record`.
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
