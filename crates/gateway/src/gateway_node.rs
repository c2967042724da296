//! State that all workers of an instance share.
//!
//! Lock order: mirror, routes, roster, evacuations, servers, usable, services, keys, peers, suspects,
//! reach, knowledge, then the locks inside a server or a service. No lock is held across an await.

use crate::{
    feed_replies::FeedReplies, leadership_checks::LeadershipChecks, prelude::*,
    relay_client::HelperTable,
};
use async_net::UdpSocket;
use std::{cmp::Ordering, sync::OnceLock};

/// Shared state of a gateway instance.
pub(crate) struct GatewayNode {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: SteadyClock,
    pub(crate) workers: Arc<WorkerPool>,
    pub(crate) store: ObjectClient,
    pub(crate) log: LogRateLimiter,
    pub(crate) open_calls: OpenCalls,
    pub(crate) own_incarnation: InstanceIncarnation,
    pub(crate) selector: ServerSelector,
    /// Selector with the limits that apply to the owner of a key, to which there is no alternative.
    pub(crate) owner_selector: ServerSelector,
    /// Configuration in force, and the revision at which the store had it.
    routes: StateMutex<Option<(Arc<RouteTable>, StoreRevision)>>,
    pub(crate) roster: StateMutex<ServerRoster>,
    /// Data centres whose servers get no requests.
    pub(crate) evacuations: StateMutex<EvacuationTable>,
    pub(crate) servers: StateMutex<IndexMap<ServerIncarnation, Arc<ServerRuntime>>>,
    /// Servers that accept new requests, by service.
    pub(crate) usable: StateMutex<IndexMap<String, ServerList>>,
    services: StateMutex<IndexMap<String, Arc<ServiceState>>>,
    round_robins: StateMutex<IndexMap<String, WeightedRoundRobin>>,
    first_attempt_timeouts: StateMutex<IndexMap<String, Duration>>,
    pub(crate) keys: StateMutex<IndexMap<String, KeyView>>,
    pub(crate) peers: StateMutex<PeerTable>,
    /// Memory for the bodies of callers' requests, and of answers until they are delivered.
    pub(crate) body_memory: Arc<MemoryBudget>,
    /// Connections to instances that run requests for this one.
    pub(crate) helpers: HelperTable,
    /// Whether this instance reaches the servers.
    pub(crate) reach: StateMutex<ServerReach>,
    /// Notified when a check of the reach has a result.
    pub(crate) reach_checked: Event,
    /// Requests under which servers crashed.
    pub(crate) suspects: StateMutex<QuarantineTable>,
    /// Checks of leaderships that wait for the store.
    pub(crate) leadership_checks: LeadershipChecks,
    /// Notified when the store's record of quarantined requests should be updated.
    pub(crate) quarantine_changed: Event,
    /// Socket for datagrams to other instances, once it is bound.
    pub(crate) peer_socket: OnceLock<UdpSocket>,
    /// Notified when a key record, the granted ranges or the configuration change.
    pub(crate) keys_changed: Event,
    /// Notified when an order that this instance sent as leader has finished.
    pub(crate) order_finished: Event,
    /// Notified at each heartbeat of another instance, which may report newer objects.
    pub(crate) heartbeat_received: Event,
    /// Notified when a change reached this instance that its own watch of the store has missed.
    pub(crate) watch_restart_due: Event,
    /// Notified when a change should be reported to other instances at once.
    pub(crate) heartbeat_due: Event,
    pub(crate) mirror: StateMutex<ObjectMirror>,
    /// Encoded copies of what the mirror holds; locked after the mirror.
    pub(crate) feed_replies: StateMutex<FeedReplies>,
    /// Age of what the mirror holds.
    pub(crate) knowledge: StateMutex<KnowledgeAge>,
    /// Notified when another instance knows more.
    pub(crate) knowledge_doubted: Event,
    /// When the process started.
    pub(crate) started_at: MonoTime,
    /// Whether the last poll of a seed was answered.
    pub(crate) is_seed_reachable: AtomicBool,
    pub(crate) stopping_since: StateMutex<Option<MonoTime>>,
    /// Set when a stop answers all pending requests with an error status.
    pub(crate) cancel_pending: OneShotEvent,
}

impl GatewayNode {
    /// Intervals and time limits of a leader.
    pub(crate) const TIMING: LeaderTiming = LeaderTiming {
        grant_duration: Duration::from_millis(2_000),
        renewal_interval: Duration::from_millis(550),
        authority: Duration::from_secs(12),
        support_validity: Duration::from_secs(1),
        former_support: Duration::from_millis(1_050),
        former_authority: Duration::from_secs(12),
        retry_delay: Duration::from_millis(300),
    };
    /// Maximum number of requests at a server, as a multiple of its slots.
    const MAX_OCCUPANCY: f64 = 2.0;
    /// The same limit for the owner of a key.
    const MAX_OWNER_OCCUPANCY: f64 = 2.6;
    /// How long entries that expire around a store outage stay in use.
    const EXPIRY_GRACE: Duration = Duration::from_millis(1_500);

    /// Creates an instance with `settings`; `incarnation` is the start time of its process.
    pub(crate) fn new(
        settings: GatewaySettings,
        workers: Arc<WorkerPool>,
        incarnation: u64,
    ) -> Self {
        let own_incarnation = InstanceIncarnation {
            instance: settings.name.clone(),
            incarnation,
        };
        let selector = ServerSelector {
            max_occupancy: Self::MAX_OCCUPANCY,
            ..ServerSelector::default()
        };
        Self {
            clock: SteadyClock,
            store: ObjectClient::new(workers.clone(), settings.store_address),
            log: LogRateLimiter::default(),
            open_calls: OpenCalls::default(),
            selector,
            owner_selector: ServerSelector {
                max_occupancy: Self::MAX_OWNER_OCCUPANCY,
                ..selector
            },
            own_incarnation,
            workers,
            routes: StateMutex::default(),
            roster: StateMutex::default(),
            evacuations: StateMutex::default(),
            servers: StateMutex::default(),
            usable: StateMutex::default(),
            services: StateMutex::default(),
            round_robins: StateMutex::default(),
            first_attempt_timeouts: StateMutex::default(),
            keys: StateMutex::default(),
            peers: StateMutex::default(),
            body_memory: MemoryBudget::with_limits(settings.memory.limits()),
            helpers: HelperTable::default(),
            reach: StateMutex::default(),
            reach_checked: Event::new(),
            suspects: StateMutex::default(),
            leadership_checks: LeadershipChecks::default(),
            quarantine_changed: Event::new(),
            peer_socket: OnceLock::new(),
            keys_changed: Event::new(),
            order_finished: Event::new(),
            heartbeat_received: Event::new(),
            watch_restart_due: Event::new(),
            heartbeat_due: Event::new(),
            mirror: StateMutex::default(),
            feed_replies: StateMutex::default(),
            knowledge: StateMutex::default(),
            knowledge_doubted: Event::new(),
            started_at: SteadyClock.now(),
            is_seed_reachable: AtomicBool::new(false),
            stopping_since: StateMutex::default(),
            cancel_pending: OneShotEvent::default(),
            settings,
        }
    }

    /// Current time, on the clock that keeps running while the machine is suspended.
    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Current configuration, if one has been received.
    pub(crate) fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.routes
            .lock()
            .as_ref()
            .map(|(table, _)| Arc::clone(table))
    }

    /// Installs a configuration that the store has at `revision`, unless the operators' version of
    /// the current one is at least as new; returns whether it was installed. In a later era of the
    /// store, operators may write other content under the version that is in force.
    pub(crate) fn install_routes(&self, table: RouteTable, revision: StoreRevision) -> bool {
        let mut routes = self.routes.lock();
        if let Some((known, known_at)) = routes.as_mut() {
            let is_later_era = revision.era > known_at.era;
            match table.revision().cmp(&known.revision()) {
                Ordering::Less => return false,
                Ordering::Equal if !is_later_era => return false,
                Ordering::Equal if **known == table => {
                    *known_at = revision;
                    return false;
                }
                Ordering::Equal | Ordering::Greater => {}
            }
        }
        let keyed: Vec<String> = table
            .services()
            .values()
            .filter(|config| config.keyed)
            .map(|config| config.name.clone())
            .collect();
        *routes = Some((Arc::new(table), revision));
        drop(routes);
        for service in keyed {
            self.with_key_view(&service, |_| ());
        }
        self.keys_changed.notify(usize::MAX);
        true
    }

    /// Doubts what this instance knows if another one has a later configuration.
    pub(crate) fn compare_configuration(&self, revision: u64) {
        let known = self.route_table().map_or(0, |table| table.revision());
        if revision > known {
            self.knowledge.lock().doubt(self.now());
            self.knowledge_doubted.notify(usize::MAX);
        }
    }

    /// Whether the keys of a service are owned by individual servers.
    pub(crate) fn is_keyed(&self, service: &str) -> bool {
        self.route_table()
            .and_then(|table| table.services().get(service).map(|config| config.keyed))
            .unwrap_or_default()
    }

    /// Whether the instance has started so recently that it does not query the store itself as long
    /// as a seed answers.
    pub(crate) fn is_recently_started(&self) -> bool {
        /// Time that an instance takes to fetch all objects from a seed.
        const STARTUP_TIME: Duration = Duration::from_millis(2_500);
        self.now().since(self.started_at) < STARTUP_TIME
    }

    /// State of a service; created on first use.
    pub(crate) fn service(&self, name: &str) -> Arc<ServiceState> {
        let mut services = self.services.lock();
        services
            .entry(name.into())
            .or_insert_with(|| Arc::new(ServiceState::new(&self.settings)))
            .clone()
    }

    /// Selects the service for the next request of a route by weighted round robin.
    pub(crate) fn select_service(&self, route: &RouteRule) -> Option<String> {
        if let [only] = route.split.as_slice() {
            return Some(only.service.clone());
        }
        let mut round_robins = self.round_robins.lock();
        round_robins
            .entry(route.name.clone())
            .or_insert_with(|| WeightedRoundRobin::new(rand::random()))
            .next_service(&route.split)
            .map(String::from)
    }

    /// Longest timeout that callers of a route have sent so far, which is taken as that of a first
    /// attempt. Updates it with `caller_timeout`.
    pub(crate) fn first_attempt_timeout(&self, route: &str, caller_timeout: Duration) -> Duration {
        let mut timeouts = self.first_attempt_timeouts.lock();
        let longest = timeouts.entry(route.into()).or_insert(caller_timeout);
        *longest = caller_timeout.max(*longest);
        *longest
    }

    /// How long entries that expire now stay in use.
    pub(crate) fn expiry_grace(&self) -> Duration {
        let now = self.now();
        match self.store.health.is_unstable(now) || self.peers.lock().is_store_unstable(now) {
            true => Self::EXPIRY_GRACE,
            false => Duration::ZERO,
        }
    }

    /// Number of instances that share retry budgets and connection limits.
    pub(crate) fn instance_count(&self) -> usize {
        self.peers.lock().instance_count()
    }

    /// Whether the store is unavailable, but the other instances, if there are any, are heard: they
    /// would report a new leader.
    pub(crate) fn is_only_store_unavailable(&self) -> bool {
        let now = self.now();
        self.store.health.is_unavailable() && self.peers.lock().hears_any(now)
    }

    /// Whether this instance leads the keys of any service.
    pub(crate) fn is_leading(&self) -> bool {
        self.keys
            .lock()
            .values()
            .any(|view| view.leader.is_leader())
    }

    /// Whether the load balancer should send callers to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.route_table().is_some()
            && !self.servers.lock().is_empty()
            && self.knows_evacuations()
    }
}
