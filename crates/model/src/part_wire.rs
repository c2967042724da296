//! Serialised form of a part's record.

use crate::prelude::*;

/// JSON form of [`PartRecord`] in the store and between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PartWire {
    part: String,
    term: u64,
    edition: u64,
    leader: String,
    standbys: Vec<String>,
    slices: Vec<SliceWire>,
    end: String,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    former: Vec<Vec<String>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    moving: Vec<[String; 2]>,
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
            standbys: to_texts(&record.standbys),
            slices: record.slices.iter().map(SliceWire::from).collect(),
            end: KeyHash(record.end).to_string(),
            former: record
                .former_members
                .iter()
                .map(|members| to_texts(members))
                .collect(),
            moving: record
                .moving
                .iter()
                .map(|range| [range.start, range.end].map(|hash| KeyHash(hash).to_string()))
                .collect(),
            write_id: record.write_id.clone(),
        }
    }
}

fn to_texts(ids: &[InstanceId]) -> Vec<String> {
    ids.iter().map(ToString::to_string).collect()
}

fn parse_instances(texts: &[String]) -> Result<Vec<InstanceId>, WireError> {
    texts.iter().map(|text| text.parse()).collect()
}

fn parse_range([start, end]: &[String; 2]) -> Result<SliceRange, WireError> {
    Ok(SliceRange {
        start: start.parse::<KeyHash>()?.0,
        end: end.parse::<KeyHash>()?.0,
    })
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
        if !slices.is_sorted_by(|entry, next| entry.start < next.start) || slices.is_empty() {
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
            standbys: parse_instances(&wire.standbys)?,
            slices,
            end: wire.end.parse::<KeyHash>()?.0,
            former_members: wire
                .former
                .iter()
                .map(|members| parse_instances(members))
                .collect::<Result<_, _>>()?,
            moving: wire
                .moving
                .iter()
                .map(parse_range)
                .collect::<Result<_, _>>()?,
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
