//! The other instances, known from their records and heartbeats.

use crate::{
    peer_clock::PeerClock,
    peer_heartbeat::PeerHeartbeat,
    peer_positions::order_of,
    peer_state::{PeerState, WatcherAssignment},
    prelude::*,
};

/// Other instances by name, and whether this instance lags behind them.
#[derive(Default)]
pub(crate) struct PeerTable {
    pub(crate) own_name: String,
    pub(crate) data_centre: String,
    /// Position of this instance by name, among those of its data centre and among all.
    pub(crate) positions: InstancePositions,
    /// Names of the first known instances in the order in which they act for all others.
    pub(crate) volunteers: Vec<String>,
    pub(crate) started_at: MonoTime,
    pub(crate) peers: IndexMap<String, PeerState>,
    /// Revisions that other instances report and that are not known here.
    pub(crate) lag: Option<RevisionLag>,
    /// Latest watcher assignment of each leader, by the leader's name.
    pub(crate) assignments: IndexMap<String, WatcherAssignment>,
    /// Number of live instances as last reported by a leader.
    leader_live_count: Option<u32>,
}

/// Revisions that another instance reported and that are not known here.
#[derive(Clone, Copy)]
pub(crate) struct RevisionLag {
    pub(crate) since: MonoTime,
    reported: KindRevisions,
}

fn is_any_later(reported: KindRevisions, known: KindRevisions) -> bool {
    let mut pairs = reported.iter().zip(known);
    pairs.any(|(reported, known)| *reported > known)
}

impl PeerTable {
    /// Time without a heartbeat after which an instance counts as lost.
    const LOST_TIMEOUT: Duration = Duration::from_millis(2_000);
    /// Longest time that an instance may lag behind others before it watches the store itself.
    pub(crate) const MAX_LAG: Duration = Duration::from_millis(600);
    /// The same for instances that are not among the few that act for all: when they lag, all do.
    pub(crate) const MAX_LAG_OF_MANY: Duration = Duration::from_millis(1_200);
    /// Time within which every live instance sends a heartbeat once a leader is suspected.
    pub(crate) const RECENT_WINDOW: Duration = Duration::from_millis(600);

    /// Sets the identity of this instance and the time from which it listens.
    pub(crate) fn init(&mut self, own_name: &str, data_centre: &str, now: MonoTime) {
        self.own_name = own_name.into();
        self.data_centre = data_centre.into();
        self.started_at = now;
        self.update_positions();
    }

    /// Adds or replaces an instance by its record from the store.
    pub(crate) fn insert(
        &mut self,
        record: InstanceRecord,
        revision: StoreRevision,
        now: MonoTime,
    ) {
        if record.name == self.own_name {
            return;
        }
        let known = self.peers.get(&record.name);
        if known.is_some_and(|peer| peer.revision >= revision) {
            return;
        }
        if known.is_some_and(|peer| peer.is_superseded_copy(&record, revision)) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&record.name)
            && peer.record == record
        {
            peer.revision = revision;
            return;
        }
        log::info!(
            instance = record.name.as_str(),
            incarnation = record.incarnation,
            address = record.address.to_string().as_str();
            "instance found"
        );
        let state = PeerState {
            revision,
            // The process has just announced itself, so it counts as alive.
            heard_at: Some(now),
            heartbeat: PeerHeartbeat {
                incarnation: record.incarnation,
                ..PeerHeartbeat::default()
            },
            order: order_of(&record.name),
            record,
            clock: PeerClock::default(),
        };
        self.peers.insert(state.record.name.clone(), state);
        self.update_positions();
    }

    /// Removes an instance whose record was removed from the store at a revision. One that is heard
    /// stays if the store of a later era merely lacks its record: it writes it again.
    pub(crate) fn remove(&mut self, name: &str, revision: StoreRevision, now: MonoTime) {
        let is_kept = self.peers.get(name).is_some_and(|peer| {
            let is_of_earlier_era = peer.revision.era < revision.era;
            is_of_earlier_era && peer.heard_within(now, Self::LOST_TIMEOUT)
        });
        if is_kept {
            return;
        }
        self.peers.shift_remove(name);
        self.update_positions();
    }

    /// Stores a received heartbeat and the watcher assignment of a leader. Returns when it was sent,
    /// if its sender is known.
    pub(crate) fn apply_heartbeat(
        &mut self,
        mut heartbeat: PeerHeartbeat,
        now: MonoTime,
    ) -> Option<MonoTime> {
        if self.is_overtaken(&heartbeat) {
            return None;
        }
        match heartbeat.leaderships.iter().any(|status| status.is_leader) {
            true => {
                self.leader_live_count = Some(heartbeat.live_count);
                let known = self
                    .assignments
                    .entry(heartbeat.instance.clone())
                    .or_default();
                known.received_at = now;
                known.watchers.clone_from(&heartbeat.watchers);
                known.isolated.clone_from(&heartbeat.isolated);
                if !heartbeat.watchers.is_empty() {
                    known.successors.clone_from(&heartbeat.watchers);
                }
            }
            false => {
                self.assignments.shift_remove(&heartbeat.instance);
            }
        }
        let peer = self.peers.get_mut(&heartbeat.instance)?;
        if heartbeat.incarnation > peer.heartbeat.incarnation {
            peer.clock = PeerClock::default();
        }
        let sent_at = peer.clock.sent_time(heartbeat.sent_at, now);
        peer.heard_at = Some(now);
        if heartbeat.service_times.is_empty() {
            heartbeat.service_times = std::mem::take(&mut peer.heartbeat.service_times);
        }
        peer.heartbeat = heartbeat;
        Some(sent_at)
    }

    /// Whether a heartbeat was sent before the last one that was applied, or is the same.
    fn is_overtaken(&self, heartbeat: &PeerHeartbeat) -> bool {
        let Some(peer) = self.peers.get(&heartbeat.instance) else {
            return false;
        };
        let last = &peer.heartbeat;
        let is_earlier = heartbeat.sent_at > MonoTime::default()
            && heartbeat.sent_at <= last.sent_at
            && heartbeat.incarnation == last.incarnation;
        is_earlier || heartbeat.incarnation < last.incarnation
    }

    /// Feed address of a live instance with newer revisions than `latest`, and the time since which
    /// there is one. `avoided` is chosen only if no other instance qualifies.
    pub(crate) fn newer_source(
        &mut self,
        latest: KindRevisions,
        avoided: Option<SocketAddr>,
        now: MonoTime,
    ) -> Option<(SocketAddr, MonoTime)> {
        let source = self
            .peers
            .values()
            .filter(|peer| {
                let reported = peer.heartbeat.revisions;
                peer.heard_within(now, Self::LOST_TIMEOUT) && is_any_later(reported, latest)
            })
            .max_by_key(|peer| (Some(peer.record.feed_address) != avoided, peer.heard_at));
        // It lasts as long as what was reported at first is missing.
        let known = self.lag.filter(|lag| is_any_later(lag.reported, latest));
        self.lag = source.map(|peer| {
            known.unwrap_or(RevisionLag {
                since: now,
                reported: peer.heartbeat.revisions,
            })
        });
        let address = source.map(|peer| peer.record.feed_address);
        address.zip(self.lag.map(|lag| lag.since))
    }

    /// Whether a leader, from which this instance learns of servers, says that entries of live ones
    /// may be missing.
    pub(crate) fn is_store_unstable(&self, now: MonoTime) -> bool {
        self.peers.values().any(|peer| {
            let mut leaderships = peer.heartbeat.leaderships.iter();
            peer.heartbeat.store_unstable
                && peer.heard_within(now, WatcherSelection::LEADER_TIMEOUT)
                && leaderships.any(|status| status.is_leader)
        })
    }

    /// Whether another instance says that the store fails for it.
    pub(crate) fn is_store_failing(&self, now: MonoTime) -> bool {
        self.peers.values().any(|peer| {
            let heartbeat = &peer.heartbeat;
            (heartbeat.store_lost || heartbeat.store_unstable)
                && peer.heard_within(now, Self::LOST_TIMEOUT)
        })
    }

    /// Number of instances that share budgets, this one included: those that a leader hears or, if
    /// more, all announced ones, since an instance without heartbeats may still serve requests.
    pub(crate) fn instance_count(&self) -> usize {
        let live = self.leader_live_count.map_or(0, |count| count as usize);
        live.max(self.peers.len() + 1)
    }

    /// Number of instances with a recent heartbeat, this one included.
    pub(crate) fn live_count(&self, now: MonoTime) -> u32 {
        let live = self
            .peers
            .values()
            .filter(|peer| peer.heard_within(now, Self::LOST_TIMEOUT));
        live.count() as u32 + 1
    }

    /// Whether any other instance sent a heartbeat recently; also true when no other is known.
    pub(crate) fn hears_any(&self, now: MonoTime) -> bool {
        self.hears_any_within(Self::RECENT_WINDOW, now)
    }

    pub(crate) fn hears_any_within(&self, time: Duration, now: MonoTime) -> bool {
        let mut peers = self.peers.values();
        self.peers.is_empty() || peers.any(|peer| peer.heard_within(now, time))
    }

    /// Heartbeat addresses of all other instances.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers
            .values()
            .map(|peer| peer.record.address)
            .collect()
    }

    /// Longest time for which a server still wants no requests from other instances, and the number
    /// of instances that say so.
    pub(crate) fn rest_of(&self, server: &ServerIncarnation, now: MonoTime) -> (Duration, usize) {
        let mut longest = Duration::ZERO;
        let mut reporters = 0;
        for peer in self.peers.values() {
            let heard_since = now.since(peer.heard_at.unwrap_or_default());
            let mut rests = peer.heartbeat.rests.iter();
            let rest = rests.find(|rest| rest.server == *server);
            let left = rest.map_or(Duration::ZERO, |rest| rest.left.saturating_sub(heard_since));
            longest = longest.max(left);
            reporters += usize::from(!left.is_zero());
        }
        (longest, reporters)
    }

    /// Heartbeat address of one instance.
    pub(crate) fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.record.address)
    }

    /// Mean reported service time of a server, in seconds, and the number of its samples.
    pub(crate) fn service_time_of(&self, server: &ServerIncarnation) -> (f64, u32) {
        let service_times = self
            .peers
            .values()
            .flat_map(|peer| &peer.heartbeat.service_times)
            .filter(|report| report.server == *server);
        let mut sum = 0.0;
        let mut samples = 0;
        for report in service_times {
            sum += report.service_time * f64::from(report.samples);
            samples = report.samples.saturating_add(samples);
        }
        (sum / f64::from(samples.max(1)), samples)
    }
}
