//! The record of a service's keys, kept in the platform's store.
//!
//! It changes only by conditional writes. An instance acts on a change once the store has
//! acknowledged it, so whatever an instance does can be read from the record afterwards.

use crate::prelude::*;

/// Who holds which keys of a service, and which instance orders the servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Name of the service.
    pub service: String,
    /// Grows with each change of the leader.
    pub term: u64,
    /// Instance that orders the servers.
    pub leader: InstanceIncarnation,
    /// Leaders before it that may still order, oldest first.
    pub former: Vec<InstanceIncarnation>,
    /// Highest fence given out.
    pub last_fence: u64,
    /// Ranges in order, which cover all keys once there is a server.
    pub ranges: Vec<KeyRange>,
}

/// One life of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// Name of the instance.
    pub instance: String,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// One life of one server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// Identifier of the server.
    pub id: String,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub born: u64,
}

impl Display for ServerIncarnation {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.born)
    }
}

impl KeyRecord {
    /// Record of a service without any range.
    pub fn new(service: &str, leader: InstanceIncarnation) -> Self {
        Self {
            service: service.into(),
            term: 1,
            leader,
            former: Vec::new(),
            last_fence: 0,
            ranges: Vec::new(),
        }
    }

    /// Range of a key.
    pub fn range_of(&self, key: u16) -> Option<&KeyRange> {
        let after = self.ranges.partition_point(|range| range.first <= key);
        let range = self.ranges.get(after.checked_sub(1)?)?;
        range.contains(key).then_some(range)
    }

    /// The same record under another leader.
    pub fn with_leader(&self, leader: InstanceIncarnation) -> Self {
        let mut record = self.clone();
        record.term += 1;
        let before = std::mem::replace(&mut record.leader, leader);
        record.former.retain(|mark| *mark != before);
        record.former.push(before);
        record
    }

    /// Gives the keys from `first` to `last` to `owner` under the next fence.
    ///
    /// The keys must lie in one range; others, which a spoilt message may name, change nothing. With
    /// `released` no server can hold them any more; else the range's owner has to give them up
    /// first, or whoever had to before it.
    pub fn assign(&mut self, first: u16, last: u16, owner: &ServerIncarnation, released: bool) {
        if first > last {
            return;
        }
        let Some(position) = self
            .ranges
            .iter()
            .position(|range| range.contains(first) && range.contains(last))
        else {
            return;
        };
        let old = self.ranges[position].clone();
        let previous = match (&old.state, released) {
            (_, true) => None,
            (RangeState::Settled, false) => Some(old.owner.clone()),
            (RangeState::Moving { previous }, false) => previous.clone(),
        };
        self.last_fence += 1;
        let mut parts = Vec::with_capacity(3);
        if old.first < first {
            parts.push(KeyRange {
                last: first - 1,
                ..old.clone()
            });
        }
        parts.push(KeyRange {
            first,
            last,
            fence: self.last_fence,
            owner: owner.clone(),
            state: RangeState::Moving { previous },
        });
        if last < old.last {
            parts.push(KeyRange {
                first: last + 1,
                ..old
            });
        }
        self.ranges.splice(position..=position, parts);
    }

    /// Deals all keys out over servers in proportion to their weights.
    pub fn distribute(&mut self, servers: &[(ServerIncarnation, f64)]) {
        let total: f64 = servers.iter().map(|(_, weight)| weight).sum();
        if total <= 0.0 {
            return;
        }
        self.ranges.clear();
        let mut sum = 0.0;
        let mut first = 0_u32;
        for (position, (owner, weight)) in servers.iter().enumerate() {
            sum += weight;
            let end = match position + 1 == servers.len() {
                true => 1 << 16,
                false => (sum / total * 65_536.0).round() as u32,
            };
            if end <= first {
                continue;
            }
            self.last_fence += 1;
            self.ranges.push(KeyRange {
                first: first as u16,
                last: (end - 1) as u16,
                fence: self.last_fence,
                owner: owner.clone(),
                state: RangeState::Moving { previous: None },
            });
            first = end;
        }
    }

    /// Leaves a fence out: the store takes no notice of a write that changes nothing.
    pub fn skip_fence(&mut self) {
        self.last_fence += 1;
    }

    /// Marks the range under `fence` that begins with `first` as held by its owner.
    pub fn settle(&mut self, first: u16, fence: u64) -> bool {
        let range = self
            .ranges
            .iter_mut()
            .find(|range| range.first == first && range.fence == fence);
        match range {
            Some(range) if !range.is_settled() => {
                range.state = RangeState::Settled;
                true
            }
            _ => false,
        }
    }

    /// Makes one range of the settled ones from `first` on that follow each other at one owner,
    /// under the next fence. The owner keeps its keys all the while: its next renewal raises their
    /// fence.
    pub fn merge(&mut self, first: u16) {
        let Some(start) = self.ranges.iter().position(|range| range.first == first) else {
            return;
        };
        let length = Self::run_length(&self.ranges[start..]);
        if length < 2 {
            return;
        }
        self.last_fence += 1;
        let merged = KeyRange {
            last: self.ranges[start + length - 1].last,
            fence: self.last_fence,
            ..self.ranges[start].clone()
        };
        self.ranges.splice(start..start + length, [merged]);
    }

    /// Number of settled ranges at the beginning that follow each other at one owner.
    pub(crate) fn run_length(ranges: &[KeyRange]) -> usize {
        let Some(first) = ranges.first().filter(|range| range.is_settled()) else {
            return 0;
        };
        let joins = |pair: &&[KeyRange]| {
            let is_next = u32::from(pair[0].last) + 1 == u32::from(pair[1].first);
            is_next && pair[1].is_settled() && pair[1].owner == first.owner
        };
        1 + ranges.windows(2).take_while(joins).count()
    }

    /// What is wrong with a record that was read; a sound one has ordered, disjoint ranges.
    pub fn invariant_violation(&self) -> Option<&'static str> {
        let pairs = self.ranges.windows(2);
        if self.ranges.iter().any(|range| range.first > range.last) {
            return Some("a range ends before it begins");
        }
        if self
            .ranges
            .iter()
            .any(|range| range.fence > self.last_fence)
        {
            return Some("a fence is above the last one given out");
        }
        for pair in pairs {
            if pair[0].last >= pair[1].first {
                return Some("ranges overlap or are out of order");
            }
        }
        None
    }
}
