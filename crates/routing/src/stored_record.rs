//! Compact form of a key record, as kept in the store.
//!
//! Every instance reads the record after every change. To keep it small, each server is listed once
//! and ranges refer to it by position.

use crate::prelude::*;

/// Key record in its stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    service: String,
    /// Builds that know of no eras leave it out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<u64>,
    term: u64,
    leader: (String, u64),
    #[serde(default)]
    supporters: Vec<(String, u64)>,
    former: Vec<(String, u64)>,
    /// Supporters of each former leader. Builds that know of none leave them out.
    #[serde(default)]
    former_supporters: Vec<Vec<(String, u64)>>,
    last_fence: u64,
    servers: Vec<(String, u64)>,
    /// First key, last key, fence, and position of the owner. A moving range has a fifth number:
    /// the position of the previous holder plus one, or zero if there is none.
    ranges: Vec<Vec<u64>>,
}

impl From<&KeyRecord> for StoredRecord {
    fn from(record: &KeyRecord) -> Self {
        let mut servers: indexmap::IndexSet<&ServerIncarnation> = indexmap::IndexSet::new();
        let mut ranges = Vec::with_capacity(record.ranges.len());
        for range in &record.ranges {
            let (owner, _) = servers.insert_full(&range.owner);
            let mut numbers = vec![
                u64::from(range.first),
                u64::from(range.last),
                range.fence,
                owner as u64,
            ];
            if let RangeState::Moving { previous } = &range.state {
                let holder = previous
                    .as_ref()
                    .map_or(0, |server| servers.insert_full(server).0 as u64 + 1);
                numbers.push(holder);
            }
            ranges.push(numbers);
        }
        let to_pair =
            |instance: &InstanceIncarnation| (instance.instance.clone(), instance.incarnation);
        let to_pairs = |instances: &[InstanceIncarnation]| instances.iter().map(to_pair).collect();
        let former = record.former.iter();
        Self {
            service: record.service.clone(),
            era: record.era,
            term: record.term,
            leader: to_pair(&record.leader),
            supporters: to_pairs(&record.supporters),
            former: former
                .clone()
                .map(|former| to_pair(&former.leader))
                .collect(),
            former_supporters: former.map(|former| to_pairs(&former.supporters)).collect(),
            last_fence: record.last_fence,
            servers: servers
                .into_iter()
                .map(|server| (server.id.clone(), server.born))
                .collect(),
            ranges,
        }
    }
}

impl TryFrom<StoredRecord> for KeyRecord {
    type Error = RecordError;

    fn try_from(stored: StoredRecord) -> Result<Self, RecordError> {
        let from_pair = |(instance, incarnation): (String, u64)| InstanceIncarnation {
            instance,
            incarnation,
        };
        let servers: Vec<ServerIncarnation> = stored
            .servers
            .into_iter()
            .map(|(id, born)| ServerIncarnation { id, born })
            .collect();
        let mut ranges = Vec::with_capacity(stored.ranges.len());
        for numbers in &stored.ranges {
            ranges.push(decode_range(numbers, &servers)?);
        }
        let from_pairs = |pairs: Vec<(String, u64)>| pairs.into_iter().map(from_pair).collect();
        let mut former_supporters = stored.former_supporters;
        former_supporters.resize(stored.former.len(), Vec::new());
        let former = stored.former.into_iter().zip(former_supporters);
        let record = Self {
            service: stored.service,
            era: stored.era,
            term: stored.term,
            leader: from_pair(stored.leader),
            supporters: from_pairs(stored.supporters),
            former: former
                .map(|(leader, supporters)| FormerLeader {
                    leader: from_pair(leader),
                    supporters: from_pairs(supporters),
                })
                .collect(),
            last_fence: stored.last_fence,
            ranges,
        };
        match record.invariant_violation() {
            Some(violation) => Err(RecordError(violation)),
            None => Ok(record),
        }
    }
}

/// Error on reading a stored key record: the invariant that it breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordError(&'static str);

impl Display for RecordError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for RecordError {}

fn decode_range(numbers: &[u64], servers: &[ServerIncarnation]) -> Result<KeyRange, RecordError> {
    let (first, last, fence, owner, holder) = match *numbers {
        [first, last, fence, owner] => (first, last, fence, owner, None),
        [first, last, fence, owner, holder] => (first, last, fence, owner, Some(holder)),
        _ => return Err(RecordError("a range has neither four nor five numbers")),
    };
    let key = |number: u64| u16::try_from(number).map_err(|_| RecordError("a key is above 65535"));
    let server = |position: u64| {
        servers
            .get(position as usize)
            .cloned()
            .ok_or(RecordError("a range names a server that is not listed"))
    };
    let state = match holder {
        None => RangeState::Settled,
        Some(0) => RangeState::Moving { previous: None },
        Some(position) => RangeState::Moving {
            previous: Some(server(position - 1)?),
        },
    };
    Ok(KeyRange {
        first: key(first)?,
        last: key(last)?,
        fence,
        owner: server(owner)?,
        state,
    })
}
