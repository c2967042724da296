//! The other instances, as their records and heartbeats tell.

use crate::{
    peer_beat::PeerBeat,
    peer_state::{PeerState, WatchOrder},
    prelude::*,
};
use xxhash_rust::xxh3::xxh3_64;

/// Other instances by name, and how far this one is behind them.
#[derive(Default)]
pub(crate) struct PeerTable {
    pub(crate) me: String,
    pub(crate) data_centre: String,
    /// Position among the instances of its data centre, and among all.
    pub(crate) positions: InstancePositions,
    began: MonoTime,
    pub(crate) peers: IndexMap<String, PeerState>,
    /// Since when others tell newer revisions than known here.
    behind_since: Option<MonoTime>,
    /// What leaders said about who watches the store.
    duties: IndexMap<String, WatchOrder>,
    /// Instances that a leader hears.
    leader_count: Option<u32>,
}

impl PeerTable {
    /// Time after which an instance that is not heard counts as lost.
    const LOST_TIME: Duration = Duration::from_millis(2_000);
    /// Time for which an instance may be behind others before it watches the store by itself.
    const MAX_BEHIND: Duration = Duration::from_millis(600);
    /// Time in which heartbeats of all are expected once a leader is suspected.
    const MUSTER_TIME: Duration = Duration::from_millis(600);

    /// Starts the table of the instance `me` in a data centre.
    pub(crate) fn init(&mut self, me: &str, data_centre: &str, now: MonoTime) {
        self.me = me.into();
        self.data_centre = data_centre.into();
        self.began = now;
    }

    /// Takes an instance's record in.
    pub(crate) fn put(&mut self, record: InstanceRecord, revision: u64, now: MonoTime) {
        if record.name == self.me {
            return;
        }
        let known = self.peers.get(&record.name);
        if known.is_some_and(|peer| peer.revision >= revision) {
            return;
        }
        let is_same = known.is_some_and(|peer| peer.record == record);
        if is_same {
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
            // A process that has just announced itself lives.
            heard_at: Some(now),
            beat: PeerBeat {
                incarnation: record.incarnation,
                ..PeerBeat::default()
            },
            record,
        };
        self.peers.insert(state.record.name.clone(), state);
        self.update_positions();
    }

    /// Forgets an instance whose record was removed.
    pub(crate) fn forget(&mut self, name: &str) {
        self.peers.shift_remove(name);
        self.update_positions();
    }

    /// Takes a heartbeat in.
    pub(crate) fn heard(&mut self, mut beat: PeerBeat, now: MonoTime) {
        match beat.leads.iter().any(|lead| lead.leads) {
            true => {
                self.leader_count = Some(beat.heard);
                let known = self.duties.entry(beat.instance.clone()).or_default();
                known.at = now;
                known.watchers.clone_from(&beat.watchers);
                if !beat.watchers.is_empty() {
                    known.successors.clone_from(&beat.watchers);
                }
            }
            false => {
                self.duties.shift_remove(&beat.instance);
            }
        }
        if let Some(peer) = self.peers.get_mut(&beat.instance)
            && beat.incarnation >= peer.beat.incarnation
        {
            peer.heard_at = Some(now);
            if beat.paces.is_empty() {
                beat.paces = std::mem::take(&mut peer.beat.paces);
            }
            peer.beat = beat;
        }
    }

    /// Where an instance hands objects on that knows newer revisions than these, and since when
    /// one does; another one than `avoided` if there is any.
    pub(crate) fn newer_source(
        &mut self,
        newest: [u64; 3],
        avoided: Option<SocketAddr>,
        now: MonoTime,
    ) -> Option<(SocketAddr, MonoTime)> {
        let source = self
            .peers
            .values()
            .filter(|peer| {
                let mut pairs = peer.beat.revisions.iter().zip(newest);
                peer.is_heard(now, Self::LOST_TIME) && pairs.any(|(told, newest)| *told > newest)
            })
            .max_by_key(|peer| (Some(peer.record.feed_address) != avoided, peer.heard_at))
            .map(|peer| peer.record.feed_address);
        self.behind_since = source.and(self.behind_since.or(Some(now)));
        source.zip(self.behind_since)
    }

    /// Whether this instance has the duty to watch the store.
    pub(crate) fn should_watch(&self, leads: bool, now: MonoTime) -> bool {
        let orders: Vec<&WatchOrder> = self
            .duties
            .values()
            .filter(|order| now.since(order.at) < WatcherSelection::LEADER_TIMEOUT)
            .collect();
        let is_named =
            |order: &&WatchOrder| order.watchers.is_empty() || order.watchers.contains(&self.me);
        let is_behind = self
            .behind_since
            .is_some_and(|since| now.since(since) >= Self::MAX_BEHIND);
        leads || is_behind || orders.is_empty() || orders.iter().any(is_named)
    }

    /// Instances that this one, as a leader, wants to watch the store; none when all should.
    pub(crate) fn choose_watchers(&self, me: WatcherCandidate<'_>, now: MonoTime) -> Vec<String> {
        let helpers = WatcherSelection::extra_watchers(me, self.candidates(now));
        helpers.into_iter().map(String::from).collect()
    }

    /// Whether this instance, as a leader, should leave its work to a stronger one.
    pub(crate) fn should_yield(&self, me: WatcherCandidate<'_>, now: MonoTime) -> bool {
        WatcherSelection::should_yield(me, &self.candidates(now))
    }

    /// Instances heard just now that could watch or lead.
    fn candidates(&self, now: MonoTime) -> Vec<WatcherCandidate<'_>> {
        self.peers
            .values()
            .filter(|peer| {
                peer.is_heard(now, Self::MUSTER_TIME)
                    && !peer.beat.is_stopping
                    && !peer.beat.store_lost
            })
            .map(|peer| WatcherCandidate {
                name: &peer.record.name,
                data_centre: &peer.record.data_centre,
                processor_share: peer.record.processor_share,
            })
            .collect()
    }

    /// Instances that share budgets, this one included: those that a leader hears, and all that
    /// have announced themselves, since one that is not heard may go on serving.
    pub(crate) fn instance_count(&self) -> usize {
        let heard = self.leader_count.map_or(0, |count| count as usize);
        heard.max(self.peers.len() + 1)
    }

    /// Instances heard lately, this one included.
    pub(crate) fn live_count(&self, now: MonoTime) -> u32 {
        let heard = self
            .peers
            .values()
            .filter(|peer| peer.is_heard(now, Self::LOST_TIME));
        heard.count() as u32 + 1
    }

    /// Whether any other instance is heard now; also true when there is none.
    pub(crate) fn hears_any(&self, now: MonoTime) -> bool {
        let mut peers = self.peers.values();
        self.peers.is_empty() || peers.any(|peer| peer.is_heard(now, Self::MUSTER_TIME))
    }

    /// Addresses of all other instances.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers
            .values()
            .map(|peer| peer.record.address)
            .collect()
    }

    /// Address of one instance.
    pub(crate) fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.record.address)
    }

    /// What is known of a service's leader.
    pub(crate) fn leader_view(
        &self,
        service: &str,
        leader: &InstanceIncarnation,
        led_since: MonoTime,
        me: &InstanceIncarnation,
        now: MonoTime,
    ) -> LeaderView {
        let peer = self.peers.get(&leader.instance);
        let current = peer.filter(|peer| peer.beat.incarnation == leader.incarnation);
        let lead = current.and_then(|peer| peer.lead_of(service));
        let heard_at = current.and_then(|peer| peer.heard_at);
        let listened_since = led_since.max(self.began);
        let silence = now.since(heard_at.unwrap_or_default().max(listened_since));
        LeaderView {
            is_own_earlier_run: leader.instance == me.instance,
            // A new life of the leader's process does not lead; the old one cannot.
            silence: match peer.is_some_and(|peer| peer.beat.incarnation > leader.incarnation) {
                true => LeaderView::SUSPICION_TIMEOUT + silence,
                false => silence,
            },
            confirmation_age: lead
                .filter(|lead| lead.leads)
                .map_or(Duration::ZERO, |lead| lead.confirmed_age),
            hears_peers: self.peers.is_empty() || self.live_count(now) > 1,
            is_leaving: current.is_some_and(|peer| peer.beat.is_stopping || peer.beat.yields),
            rank: self.rank(service, leader, now),
        }
    }

    /// Whether a former leader can order no more: its process is a later one, or it knows `term`.
    pub(crate) fn has_stopped(&self, service: &str, mark: &InstanceIncarnation, term: u64) -> bool {
        self.peers.get(&mark.instance).is_some_and(|peer| {
            peer.beat.incarnation > mark.incarnation
                || (peer.beat.incarnation == mark.incarnation
                    && peer.lead_of(service).is_some_and(|lead| lead.term >= term))
        })
    }

    /// Position of this instance among those that could lead a service: first those that the
    /// leader named, then the others that are heard.
    fn rank(&self, service: &str, leader: &InstanceIncarnation, now: MonoTime) -> usize {
        let successors = self
            .duties
            .get(&leader.instance)
            .map(|order| &order.successors);
        let named = successors
            .into_iter()
            .flatten()
            .position(|name| *name == self.me);
        if let Some(position) = named {
            return position;
        }
        let score = |name: &str| xxh3_64(format!("{service}/{name}").as_bytes());
        let own = score(&self.me);
        let before = self.peers.iter().filter(|(name, peer)| {
            **name != leader.instance
                && !peer.beat.is_stopping
                && peer.is_heard(now, Self::MUSTER_TIME)
                && score(name) < own
        });
        before.count() + successors.map_or(0, Vec::len)
    }

    /// Measured service time of a server over all instances, in seconds, and its samples.
    pub(crate) fn pace_of(&self, server: &ServerIncarnation) -> (f64, u32) {
        let paces = self
            .peers
            .values()
            .flat_map(|peer| &peer.beat.paces)
            .filter(|pace| pace.server == *server);
        let mut sum = 0.0;
        let mut samples = 0;
        for pace in paces {
            sum += pace.service_time * f64::from(pace.samples);
            samples += pace.samples;
        }
        (sum / f64::from(samples.max(1)), samples)
    }
}
