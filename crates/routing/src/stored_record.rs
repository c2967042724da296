//! Compact form of a key record, as the store keeps it.
//!
//! The record is read by every instance after every change, so servers are listed once and ranges
//! name them by position.

use crate::prelude::*;

/// A key record in its stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    service: String,
    term: u64,
    leader: (String, u64),
    former: Vec<(String, u64)>,
    last_fence: u64,
    servers: Vec<(String, u64)>,
    /// First key, last key, fence, position of the owner, and for a range on its way the position
    /// of the holder plus one, or zero without one; a settled range has no fifth number.
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
                    .map_or(0, |mark| servers.insert_full(mark).0 as u64 + 1);
                numbers.push(holder);
            }
            ranges.push(numbers);
        }
        let pair = |mark: &InstanceIncarnation| (mark.instance.clone(), mark.incarnation);
        Self {
            service: record.service.clone(),
            term: record.term,
            leader: pair(&record.leader),
            former: record.former.iter().map(pair).collect(),
            last_fence: record.last_fence,
            servers: servers
                .into_iter()
                .map(|mark| (mark.id.clone(), mark.born))
                .collect(),
            ranges,
        }
    }
}

impl TryFrom<StoredRecord> for KeyRecord {
    type Error = RecordError;

    fn try_from(wire: StoredRecord) -> Result<Self, RecordError> {
        let mark = |(instance, incarnation): (String, u64)| InstanceIncarnation {
            instance,
            incarnation,
        };
        let servers: Vec<ServerIncarnation> = wire
            .servers
            .into_iter()
            .map(|(id, born)| ServerIncarnation { id, born })
            .collect();
        let mut ranges = Vec::with_capacity(wire.ranges.len());
        for numbers in &wire.ranges {
            ranges.push(read_range(numbers, &servers)?);
        }
        let record = Self {
            service: wire.service,
            term: wire.term,
            leader: mark(wire.leader),
            former: wire.former.into_iter().map(mark).collect(),
            last_fence: wire.last_fence,
            ranges,
        };
        match record.invariant_violation() {
            Some(fault) => Err(RecordError(fault)),
            None => Ok(record),
        }
    }
}

/// What is wrong with a stored key record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordError(&'static str);

impl Display for RecordError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for RecordError {}

fn read_range(numbers: &[u64], servers: &[ServerIncarnation]) -> Result<KeyRange, RecordError> {
    let (first, last, fence, owner, holder) = match *numbers {
        [first, last, fence, owner] => (first, last, fence, owner, None),
        [first, last, fence, owner, holder] => (first, last, fence, owner, Some(holder)),
        _ => return Err(RecordError("a range has not four or five numbers")),
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
