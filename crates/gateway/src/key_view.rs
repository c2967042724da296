//! What this instance knows of the keys of one service.

use crate::prelude::*;

/// Key record and leader state of one service, and the load of its keys.
pub(crate) struct KeyView {
    /// Key record, and the grants of this instance while it leads.
    pub(crate) leader: KeyLeader,
    /// Time at which this instance learnt of the record's current term.
    pub(crate) led_since: MonoTime,
    /// Keys of recent requests; while this instance leads, of requests at all instances.
    pub(crate) sample_window: SampleWindow,
    /// Keys of requests since the last heartbeat.
    pub(crate) recent_keys: Vec<u16>,
    /// Requests since the last heartbeat.
    pub(crate) recent_requests: u32,
    /// Recent changes of the record that this instance wrote as the leader and still sends in
    /// heartbeats.
    pub(crate) published_deltas: Vec<PublishedDelta>,
    /// Moving ranges that are already granted to their new owner, by first key and fence, with the
    /// time at which this instance learnt of the grant.
    pub(crate) granted_ranges: IndexMap<(u16, u64), MonoTime>,
    /// Whether ranges need new fences before their owners can be granted them again.
    pub(crate) is_raise_due: bool,
}

/// Change of a key record that heartbeats carry to other instances.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PublishedDelta {
    /// Revision of the record before the change.
    pub(crate) base_revision: StoreRevision,
    /// Revision of the record after the change.
    pub(crate) revision: StoreRevision,
    pub(crate) delta: RecordDelta,
    /// Time at which the change was written.
    pub(crate) at: MonoTime,
}

impl KeyView {
    /// Prefix of the object names of key records.
    pub(crate) const PREFIX: &'static str = "keys.";
    /// Time span of the load samples from which moves are planned.
    const LOAD_WINDOW: Duration = Duration::from_millis(2_500);
    /// Time for which heartbeats repeat a change.
    const DELTA_PUBLISH_TIME: Duration = Duration::from_millis(400);
    /// Shortest time for which a grant is remembered; longer while the record shows the range as
    /// moving.
    const GRANT_PUBLISH_TIME: Duration = Duration::from_millis(1_500);
    /// Largest number of keys in one heartbeat, which has to fit one datagram.
    pub(crate) const MAX_RECENT_KEYS: usize = 160;

    /// Time in seconds in which as many requests come as the load window's weights add up to.
    pub(crate) fn load_window_s() -> f64 {
        SampleWindow::effective_seconds(Self::LOAD_WINDOW)
    }

    /// Creates the view of a service without a known record.
    pub(crate) fn new(own_incarnation: InstanceIncarnation, timing: LeaderTiming) -> Self {
        Self {
            leader: KeyLeader::new(own_incarnation, timing),
            led_since: MonoTime::default(),
            sample_window: SampleWindow::new(Self::LOAD_WINDOW),
            recent_keys: Vec::new(),
            recent_requests: 0,
            published_deltas: Vec::new(),
            granted_ranges: IndexMap::new(),
            is_raise_due: false,
        }
    }

    /// Counts a request for a key. Beyond `MAX_RECENT_KEYS` the key replaces a random earlier one
    /// (reservoir sampling; `draw` is a random number from 0 to 1), so that the sample stays uniform.
    pub(crate) fn count_request(&mut self, key: u16, draw: f64) {
        self.recent_requests += 1;
        if self.recent_keys.len() < Self::MAX_RECENT_KEYS {
            self.recent_keys.push(key);
            return;
        }
        let position = (draw * f64::from(self.recent_requests)) as usize;
        if let Some(kept) = self.recent_keys.get_mut(position) {
            *kept = key;
        }
    }

    /// Removes and returns the sampled keys and the number of requests since the last heartbeat.
    pub(crate) fn take_recent_keys(&mut self) -> (Vec<u16>, u32) {
        let total = std::mem::take(&mut self.recent_requests);
        (std::mem::take(&mut self.recent_keys), total)
    }

    /// Whether callers' requests for a range may go to its owner: the range is settled or granted.
    pub(crate) fn is_served(&self, range: &KeyRange) -> bool {
        range.is_settled()
            || self
                .granted_ranges
                .contains_key(&(range.first, range.fence))
    }

    /// Keeps ranges that were granted before they got a new fence: their owners hold them.
    pub(crate) fn carry_granted_ranges(&mut self, before: &KeyRecord) {
        let Some((record, _)) = self.leader.record() else {
            return;
        };
        let raised = record.ranges.iter().filter(|range| !range.is_settled());
        let carried = raised.filter_map(|range| {
            let old = before.range_of(range.first)?;
            let is_same = old.first == range.first && old.last == range.last;
            let at = self.granted_ranges.get(&(old.first, old.fence))?;
            (is_same && old.owner == range.owner && old.fence < range.fence)
                .then_some(((range.first, range.fence), *at))
        });
        let carried: Vec<_> = carried.collect();
        self.granted_ranges.extend(carried);
    }

    /// Removes changes and grants whose publishing time is over.
    pub(crate) fn prune_published(&mut self, now: MonoTime) {
        self.published_deltas
            .retain(|published| now.since(published.at) < Self::DELTA_PUBLISH_TIME);
        let record = self.leader.record().map(|(record, _)| record);
        self.granted_ranges.retain(|(first, fence), at| {
            let is_moving = record.is_some_and(|record| {
                let range = record.range_of(*first);
                range.is_some_and(|range| range.fence == *fence && !range.is_settled())
            });
            is_moving || now.since(*at) < Self::GRANT_PUBLISH_TIME
        });
    }
}
