//! Stored form of a part's record.

use crate::prelude::*;

/// JSON form of [`PartRecord`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PartWire {
    part: String,
    term: u64,
    edition: u64,
    leader: String,
    standbys: Vec<String>,
    slices: Vec<SliceWire>,
    end: String,
    write_id: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct SliceWire {
    start: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    owner: Option<String>,
}

impl From<&PartRecord> for PartWire {
    fn from(record: &PartRecord) -> Self {
        Self {
            part: record.id.to_string(),
            term: record.term,
            edition: record.edition,
            leader: record.leader.to_string(),
            standbys: record.standbys.iter().map(ToString::to_string).collect(),
            slices: record.slices.iter().map(SliceWire::from).collect(),
            end: KeyHash(record.end).to_string(),
            write_id: record.write_id.clone(),
        }
    }
}

impl From<&SliceEntry> for SliceWire {
    fn from(entry: &SliceEntry) -> Self {
        Self {
            start: KeyHash(entry.start).to_string(),
            owner: entry.owner.as_ref().map(ToString::to_string),
        }
    }
}

impl TryFrom<PartWire> for PartRecord {
    type Error = WireError;

    fn try_from(wire: PartWire) -> Result<Self, WireError> {
        let slices = wire
            .slices
            .into_iter()
            .map(SliceEntry::try_from)
            .collect::<Result<Vec<_>, _>>()?;
        if !slices.is_sorted_by(|left, right| left.start < right.start) || slices.is_empty() {
            return Err(WireError::new(
                "slices",
                &wire.part,
                "at least one slice, in ascending order",
            ));
        }
        Ok(Self {
            id: wire.part.parse()?,
            term: wire.term,
            edition: wire.edition,
            leader: wire.leader.parse()?,
            standbys: wire
                .standbys
                .iter()
                .map(|id| id.parse())
                .collect::<Result<_, _>>()?,
            slices,
            end: wire.end.parse::<KeyHash>()?.0,
            write_id: wire.write_id,
        })
    }
}

impl TryFrom<SliceWire> for SliceEntry {
    type Error = WireError;

    fn try_from(wire: SliceWire) -> Result<Self, WireError> {
        Ok(Self {
            start: wire.start.parse::<KeyHash>()?.0,
            owner: wire.owner.as_deref().map(ServerName::new),
        })
    }
}
