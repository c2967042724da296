//! The record of a service's key ranges and their owners, kept in the platform's store.
//!
//! The record changes only by conditional writes. An instance acts on a change only after the store
//! has acknowledged it, so every action of an instance is backed by a stored record.

use crate::prelude::*;

/// Owners of a service's keys, and the leader that grants the keys to them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Name of the service.
    pub service: String,
    /// Era of the store in which the record was written; `None` if the writer knew of none.
    pub era: Option<u64>,
    /// Term of the leader; increases with each change of the leader.
    pub term: u64,
    /// Instance that grants and revokes keys at the servers.
    pub leader: InstanceIncarnation,
    /// Other instances of which enough must take the leader for such while the store does not
    /// confirm it; empty if it needs no support.
    pub supporters: Vec<InstanceIncarnation>,
    /// Former leaders whose orders may still be on their way to servers, oldest first.
    pub former: Vec<FormerLeader>,
    /// Highest fencing token issued so far.
    pub last_fence: u64,
    /// Ranges in ascending order; they cover all keys as soon as the service has a server.
    pub ranges: Vec<KeyRange>,
}

/// Leader of an earlier term, and the supporters that its record named last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerLeader {
    /// The instance that led.
    pub leader: InstanceIncarnation,
    /// Its supporters; empty if it needed no support.
    pub supporters: Vec<InstanceIncarnation>,
}

/// Name and incarnation of an instance; each start of its process begins a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// Name of the instance.
    pub instance: String,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Identifier and incarnation of a server; each start of its process begins a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// Identifier of the server, which it keeps when it restarts.
    pub id: String,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub born: u64,
}

impl Display for ServerIncarnation {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.born)
    }
}

impl KeyRecord {
    /// Creates the first record of a service, without ranges.
    pub fn new(service: &str, leader: InstanceIncarnation) -> Self {
        Self {
            service: service.into(),
            era: None,
            term: 1,
            leader,
            supporters: Vec::new(),
            former: Vec::new(),
            last_fence: 0,
            ranges: Vec::new(),
        }
    }

    /// Returns the range that contains a key.
    pub fn range_of(&self, key: u16) -> Option<&KeyRange> {
        let after = self.ranges.partition_point(|range| range.first <= key);
        let range = self.ranges.get(after.checked_sub(1)?)?;
        range.contains(key).then_some(range)
    }

    /// Returns the owners of all ranges and the holders of those that move, with repetitions.
    pub fn owners_and_holders(&self) -> impl Iterator<Item = &ServerIncarnation> {
        self.ranges.iter().flat_map(|range| {
            let holder = match &range.state {
                RangeState::Moving { previous } => previous.as_ref(),
                RangeState::Settled => None,
            };
            std::iter::once(&range.owner).chain(holder)
        })
    }

    /// Returns the record with another leader, under the next term. The leader needs no support until
    /// it names its supporters. All ranges get new fences, as it does not know to which incarnations of
    /// their owners the former leader has sent the present ones; owners keep the ranges that they hold.
    pub fn with_leader(&self, leader: InstanceIncarnation) -> Self {
        let mut record = self.clone();
        record.term += 1;
        let former = FormerLeader {
            leader: std::mem::replace(&mut record.leader, leader),
            supporters: std::mem::take(&mut record.supporters),
        };
        record.former.retain(|known| known.leader != former.leader);
        record.former.push(former);
        record.raise_fences(|_| true);
        record
    }

    /// Assigns the keys from `first` to `last` to `owner` under the next fence.
    ///
    /// The keys must lie in one range; other keys, which a corrupt message may name, change
    /// nothing. With `previous_released` no server can still hold the keys. Otherwise the range's
    /// owner must release them first or, if the range is already moving, the server that it moves
    /// from.
    pub fn assign(
        &mut self,
        first: u16,
        last: u16,
        owner: &ServerIncarnation,
        previous_released: bool,
    ) {
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
        let previous = match (&old.state, previous_released) {
            (_, true) => None,
            (RangeState::Settled, false) => Some(old.owner.clone()),
            (RangeState::Moving { previous }, false) => previous.clone(),
        };
        self.last_fence += 1;
        let mut pieces = Vec::with_capacity(3);
        if old.first < first {
            pieces.push(KeyRange {
                last: first - 1,
                ..old.clone()
            });
        }
        pieces.push(KeyRange {
            first,
            last,
            fence: self.last_fence,
            owner: owner.clone(),
            state: RangeState::Moving { previous },
        });
        if last < old.last {
            pieces.push(KeyRange {
                first: last + 1,
                ..old
            });
        }
        self.ranges.splice(position..=position, pieces);
    }

    /// Distributes all keys over the servers in proportion to their weights. Where an unknown leader
    /// may have granted them before, they move from unknown holders.
    pub fn distribute(&mut self, servers: &[(ServerIncarnation, f64)]) {
        let total: f64 = servers.iter().map(|(_, weight)| weight).sum();
        if total <= 0.0 {
            return;
        }
        let is_lost = self.former.iter().any(|former| former.leader.is_unknown());
        let previous = is_lost.then(ServerIncarnation::unknown);
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
                state: RangeState::Moving {
                    previous: previous.clone(),
                },
            });
            first = end;
        }
    }

    /// Skips one fence, so that a write changes the record: the store assigns no new revision to an
    /// unchanged one.
    pub fn skip_fence(&mut self) {
        self.last_fence += 1;
    }

    /// Gives the range that starts at `first` the next fence. Its owner keeps the keys, and its next
    /// grant raises their fence.
    pub fn raise(&mut self, first: u16) {
        if let Some(range) = self.ranges.iter_mut().find(|range| range.first == first) {
            self.last_fence += 1;
            range.fence = self.last_fence;
        }
    }

    /// Marks the move of the range with this `fence` that starts at `first` as completed; returns
    /// false if no such range is moving.
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

    /// Merges the run of settled ranges of one owner that starts at `first` into one range under
    /// the next fence. The owner holds its keys throughout; its next renewal raises their fence.
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

    /// Number of leading ranges that are settled, adjacent and of the same owner.
    pub(crate) fn run_length(ranges: &[KeyRange]) -> usize {
        let Some(first) = ranges.first().filter(|range| range.is_settled()) else {
            return 0;
        };
        let is_continuation = |pair: &&[KeyRange]| {
            let is_next = u32::from(pair[0].last) + 1 == u32::from(pair[1].first);
            is_next && pair[1].is_settled() && pair[1].owner == first.owner
        };
        1 + ranges.windows(2).take_while(is_continuation).count()
    }

    /// Describes the invariant that a record read from outside breaks: ranges are ordered and
    /// disjoint, and no fence is above the last one issued.
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
            return Some("the fence of a range is above the last one issued");
        }
        for pair in pairs {
            if pair[0].last >= pair[1].first {
                return Some("ranges overlap or are out of order");
            }
        }
        None
    }
}
