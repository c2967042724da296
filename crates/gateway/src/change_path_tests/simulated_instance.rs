//! One instance: the product's types with which it decides, and where each of its workers stands.

use super::{
    path_settings::PathGuards,
    simulated_store::{SimulatedStore, StoreAnswer},
};
use crate::{feed_replies::FeedReplies, knowledge_worker, object_watcher, prelude::*};

/// Work that an instance does in a loop of its own, one call or pause at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum WorkerSlot {
    WatchServers,
    WatchConfiguration,
    WatchRecords,
    /// `knowledge_worker`, with the calls of `store_check`.
    Check,
    /// `feed_client::poll_peers`.
    Poll,
    /// `feed_client::poll_seeds`.
    Seeds,
    /// `peer_worker::send`.
    Heartbeat,
    /// `leader_worker`, as far as it calls the store.
    Leader,
    /// `record_worker::announce`.
    Announce,
}

/// What a worker does until it is woken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum WorkerState {
    /// A pause, or waiting for an event.
    #[default]
    Paused,
    /// A call to the store that nothing interrupts.
    Calling,
    /// A watch, which is interrupted when it may be stale.
    Watching,
    /// A request to another instance.
    Asking,
    /// Waiting for the next heartbeat.
    Listening,
}

/// Leader of the keys, as the key record of the simulation says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct LeaderRecord {
    pub(super) instance: String,
    pub(super) incarnation: u64,
    pub(super) term: u64,
}

/// Calls of one check of the store.
#[derive(Default)]
pub(super) struct CheckProgress {
    pub(super) asked_at: MonoTime,
    pub(super) revision: StoreRevision,
    pub(super) has_changed: bool,
    /// Kinds that are still to be fetched, the current one first.
    pub(super) kinds: Vec<ObjectKind>,
}

/// State of one instance.
pub(super) struct SimulatedInstance {
    pub(super) record: InstanceRecord,
    pub(super) guards: PathGuards,
    pub(super) mirror: ObjectMirror,
    pub(super) replies: FeedReplies,
    pub(super) peers: PeerTable,
    pub(super) knowledge: KnowledgeAge,
    pub(super) health: StoreHealth,
    pub(super) era: EraTracker,
    /// Last era of the store of which the instance has lists.
    pub(super) listed_era: u64,
    /// Number of the write of the configuration in force.
    pub(super) configuration: Option<u64>,
    pub(super) started_at: MonoTime,
    pub(super) is_seed_reachable: bool,
    pub(super) leader: Option<(LeaderRecord, StoreRevision)>,
    pub(super) led_since: MonoTime,
    pub(super) confirmed_at: Option<MonoTime>,
    /// Record changes that heartbeats tell: base revision, revision and time of each.
    pub(super) published: Vec<(StoreRevision, StoreRevision, MonoTime)>,
    pub(super) check: CheckProgress,
    pub(super) must_list: [bool; 3],
    pub(super) backoffs: [Duration; 3],
    pub(super) avoided: Option<SocketAddr>,
    pub(super) asked_leader_at: MonoTime,
    pub(super) heartbeat_at: MonoTime,
    pub(super) is_heartbeat_due: bool,
    pub(super) states: [WorkerState; 9],
    /// Count of the steps of each worker; what comes for an earlier step is void.
    pub(super) turns: [u64; 9],
    /// Failed calls since the last answered one.
    pub(super) failures: u32,
    /// Mean delay after the next check that does not help.
    pub(super) check_delay: Duration,
    /// Idle connections to the store: since when, and whether they have gone silent.
    pub(super) idle: Vec<(MonoTime, bool)>,
    /// Watches that began before this are never answered.
    pub(super) watches_lost_at: MonoTime,
    /// Calls that began before this are never answered.
    pub(super) calls_lost_at: MonoTime,
    pub(super) suspended_until: MonoTime,
    pub(super) cut_until: MonoTime,
    /// The store refuses the calls of this instance until then.
    pub(super) refused_until: MonoTime,
    /// Difference between this instance's clock and the simulation's.
    pub(super) clock_offset: Duration,
}

impl SimulatedInstance {
    /// Name of the only service with keys.
    pub(super) const SERVICE: &'static str = "s";
    /// Time that an instance takes to fetch all objects from a seed.
    const STARTUP_TIME: Duration = Duration::from_millis(2_500);

    /// A process that has just started.
    pub(super) fn start(record: InstanceRecord, guards: PathGuards, now: MonoTime) -> Self {
        let mut peers = PeerTable::default();
        peers.init(&record.name, &record.data_centre, now);
        Self {
            clock_offset: Duration::from_micros(record.incarnation * 7_919_000),
            record,
            guards,
            mirror: ObjectMirror::default(),
            replies: FeedReplies::default(),
            peers,
            knowledge: KnowledgeAge::default(),
            health: StoreHealth::default(),
            era: EraTracker::default(),
            listed_era: 1,
            configuration: None,
            started_at: now,
            is_seed_reachable: false,
            leader: None,
            led_since: now,
            confirmed_at: None,
            published: Vec::new(),
            check: CheckProgress::default(),
            must_list: [false; 3],
            backoffs: [object_watcher::MIN_BACKOFF; 3],
            avoided: None,
            asked_leader_at: MonoTime::default(),
            heartbeat_at: now,
            is_heartbeat_due: false,
            states: [WorkerState::Paused; 9],
            turns: [0; 9],
            failures: 0,
            check_delay: knowledge_worker::MIN_RETRY_DELAY,
            idle: Vec::new(),
            watches_lost_at: MonoTime::default(),
            calls_lost_at: MonoTime::default(),
            suspended_until: MonoTime::default(),
            cut_until: MonoTime::default(),
            refused_until: MonoTime::default(),
        }
    }

    /// Gives the instance all objects of the store, as after a long calm time.
    pub(super) fn settle(&mut self, store: &SimulatedStore, now: MonoTime) {
        if self.guards.eras {
            self.era.observe(EraNotice::Stated(store.era), now, now);
        }
        let era = self.era.era().number;
        for (kind, answer) in store.pages() {
            if let StoreAnswer::List(page) = answer.in_era(era) {
                self.apply(kind, &StoreUpdate::List(page), true, now);
            }
        }
        let revision = self.covered(StoreRevision::new(era, store.revision.number));
        self.knowledge.record_complete(revision);
        self.knowledge.observe(now, revision);
    }

    pub(super) fn own_incarnation(&self) -> InstanceIncarnation {
        InstanceIncarnation {
            instance: self.record.name.clone(),
            incarnation: self.record.incarnation,
        }
    }

    pub(super) fn is_leading(&self) -> bool {
        self.leader.as_ref().is_some_and(|(leader, _)| {
            leader.instance == self.record.name && leader.incarnation == self.record.incarnation
        })
    }

    pub(super) fn is_recently_started(&self, now: MonoTime) -> bool {
        now.since(self.started_at) < Self::STARTUP_TIME
    }

    pub(super) fn should_watch(&self, now: MonoTime) -> bool {
        self.peers.should_watch(self.is_leading(), now)
    }

    pub(super) fn confirmation_age(&self, now: MonoTime) -> Duration {
        self.confirmed_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Whether the leader is heard and confirmed, so that `leader_view` needs no look at all peers.
    pub(super) fn hears_leader(&self, now: MonoTime) -> bool {
        let leader = self.leader.as_ref();
        let peer = leader.and_then(|(leader, _)| self.peers.peers.get(&leader.instance));
        peer.zip(leader).is_some_and(|(peer, (leader, _))| {
            let status = peer.leadership_of(Self::SERVICE);
            peer.heartbeat.incarnation == leader.incarnation
                && peer.heard_within(now, LeaderView::SUSPICION_TIMEOUT)
                && status.is_some_and(|status| status.confirmation_age < KnowledgeAge::MAX_AGE)
        })
    }

    /// Takes an idle connection to the store, if there is one. Returns whether it is silent.
    pub(super) fn take_idle(&mut self, now: MonoTime) -> bool {
        std::iter::from_fn(|| self.idle.pop())
            .find(|(since, _)| now.since(*since) < HttpClient::IDLE_TIMEOUT)
            .is_some_and(|(_, is_silent)| is_silent)
    }

    /// What the instance knows of the leader.
    pub(super) fn leader_view(&self, now: MonoTime) -> Option<LeaderView> {
        let (leader, _) = self.leader.as_ref()?;
        let leader = InstanceIncarnation {
            instance: leader.instance.clone(),
            incarnation: leader.incarnation,
        };
        let own = self.own_incarnation();
        let since = self.led_since;
        Some(
            self.peers
                .leader_view(Self::SERVICE, &leader, since, &own, now),
        )
    }
}
