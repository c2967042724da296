//! Tables that all workers of an instance share.
//!
//! Lock order: mirror, routes, roster, servers, usable, services, keys, peers, then the locks inside of a server or
//! a service. No lock is held across an await.

use crate::prelude::*;

/// One instance.
pub(crate) struct GatewayNode {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: SteadyClock,
    pub(crate) workers: Arc<WorkerPool>,
    pub(crate) store: ObjectClient,
    pub(crate) log: EventLog,
    pub(crate) open_calls: OpenCalls,
    pub(crate) own_incarnation: InstanceIncarnation,
    pub(crate) choice: ServerSelector,
    /// Bounds at the one server that owns a key, where no other can be chosen.
    pub(crate) owner_choice: ServerSelector,
    routes: Mutex<Option<Arc<RouteTable>>>,
    pub(crate) roster: Mutex<ServerRoster>,
    pub(crate) servers: Mutex<IndexMap<ServerIncarnation, Arc<ServerRuntime>>>,
    /// Servers that take new work, by service.
    pub(crate) usable: Mutex<IndexMap<String, ServerList>>,
    services: Mutex<IndexMap<String, Arc<ServiceState>>>,
    cursors: Mutex<IndexMap<String, WeightedRoundRobin>>,
    patience: Mutex<IndexMap<String, Duration>>,
    pub(crate) keys: Mutex<IndexMap<String, KeyView>>,
    pub(crate) peers: Mutex<PeerTable>,
    /// Notified when a key record changed.
    pub(crate) keys_changed: Event,
    /// Notified when an order of this leader has ended.
    pub(crate) order_finished: Event,
    /// Notified when another instance knows newer objects.
    pub(crate) heartbeat_received: Event,
    /// Notified when a watch of this instance has missed a change.
    pub(crate) watch_restart_due: Event,
    /// Notified when others should hear of a change at once.
    pub(crate) heartbeat_due: Event,
    pub(crate) mirror: Mutex<ObjectMirror>,
    /// When the process started.
    pub(crate) started_at: MonoTime,
    /// Whether a seed answered the last question.
    pub(crate) is_seed_reachable: AtomicBool,
    pub(crate) stopping_since: Mutex<Option<MonoTime>>,
    /// Given when requests that wait are to be answered as they stand.
    pub(crate) waits_end: EndNotice,
}

impl GatewayNode {
    /// Spans of a leader's work.
    const TIMING: LeaderTiming = LeaderTiming {
        grant_duration: Duration::from_millis(2_000),
        renewal_interval: Duration::from_millis(550),
        authority: Duration::from_secs(12),
        former_authority: Duration::from_secs(12),
        retry_delay: Duration::from_millis(300),
    };
    /// Requests at a server, as a multiple of its slots.
    const MAX_FILL: f64 = 2.0;
    /// The same at the owner of a key.
    const MAX_OWNER_FILL: f64 = 2.6;
    /// Part of the drain time that is left for what is on its way.
    const DRAIN_MARGIN: Duration = Duration::from_millis(400);
    /// Time for which entries that lapsed around an outage stay in use.
    const LAPSE_HOLD: Duration = Duration::from_millis(1_500);

    /// Instance under `settings`.
    pub(crate) fn new(
        settings: GatewaySettings,
        workers: Arc<WorkerPool>,
        incarnation: u64,
    ) -> Self {
        let own_incarnation = InstanceIncarnation {
            instance: settings.name.clone(),
            incarnation,
        };
        let choice = ServerSelector {
            max_occupancy: Self::MAX_FILL,
            ..ServerSelector::default()
        };
        Self {
            clock: SteadyClock,
            store: ObjectClient::new(workers.clone(), settings.store_address),
            log: EventLog::default(),
            open_calls: OpenCalls::default(),
            choice,
            owner_choice: ServerSelector {
                max_occupancy: Self::MAX_OWNER_FILL,
                ..choice
            },
            own_incarnation,
            workers,
            routes: Mutex::default(),
            roster: Mutex::default(),
            servers: Mutex::default(),
            usable: Mutex::default(),
            services: Mutex::default(),
            cursors: Mutex::default(),
            patience: Mutex::default(),
            keys: Mutex::default(),
            peers: Mutex::default(),
            keys_changed: Event::new(),
            order_finished: Event::new(),
            heartbeat_received: Event::new(),
            watch_restart_due: Event::new(),
            heartbeat_due: Event::new(),
            mirror: Mutex::default(),
            started_at: SteadyClock.now(),
            is_seed_reachable: AtomicBool::new(false),
            stopping_since: Mutex::default(),
            waits_end: EndNotice::default(),
            settings,
        }
    }

    /// Current reading of the clock that counts suspension.
    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Configuration in force.
    pub(crate) fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.routes.lock().unwrap().clone()
    }

    /// Puts a configuration in force unless a newer one is; true when it was put in force.
    pub(crate) fn install_routes(&self, table: RouteTable) -> bool {
        let mut routes = self.routes.lock().unwrap();
        if routes
            .as_ref()
            .is_some_and(|known| known.revision() >= table.revision())
        {
            return false;
        }
        let keyed: Vec<String> = table
            .services()
            .values()
            .filter(|rule| rule.keyed)
            .map(|rule| rule.name.clone())
            .collect();
        *routes = Some(Arc::new(table));
        drop(routes);
        for service in keyed {
            self.with_key_view(&service, |_| ());
        }
        self.keys_changed.notify(usize::MAX);
        true
    }

    /// Whether requests to a service carry keys that its servers hold.
    pub(crate) fn is_keyed(&self, service: &str) -> bool {
        self.route_table()
            .and_then(|table| table.services().get(service).map(|rule| rule.keyed))
            .unwrap_or_default()
    }

    /// Whether the instance has started so lately that it leaves the store to the seeds, if one of
    /// them answers.
    pub(crate) fn is_recently_started(&self) -> bool {
        /// Time that an instance takes to learn all from a seed.
        const NEW_TIME: Duration = Duration::from_millis(2_500);
        self.now().since(self.started_at) < NEW_TIME
    }

    /// State of a service.
    pub(crate) fn service(&self, name: &str) -> Arc<ServiceState> {
        let mut services = self.services.lock().unwrap();
        services
            .entry(name.into())
            .or_insert_with(|| Arc::new(ServiceState::new(&self.settings)))
            .clone()
    }

    /// Service that takes the next request of a route.
    pub(crate) fn select_service(&self, route: &RouteRule) -> Option<String> {
        if let [part] = route.split.as_slice() {
            return Some(part.service.clone());
        }
        let mut cursors = self.cursors.lock().unwrap();
        cursors
            .entry(route.name.clone())
            .or_insert_with(|| WeightedRoundRobin::new(rand::random()))
            .next_service(&route.split)
            .map(String::from)
    }

    /// Longest time that callers of a route said they would wait: that of a first attempt.
    pub(crate) fn first_attempt_timeout(&self, route: &str, patience: Duration) -> Duration {
        let mut known = self.patience.lock().unwrap();
        let usual = known.entry(route.into()).or_insert(patience);
        *usual = patience.max(*usual);
        *usual
    }

    /// Time for which entries that lapse now stay in use.
    pub(crate) fn expiry_grace(&self) -> Duration {
        match self.store.health.is_unstable(self.now()) {
            true => Self::LAPSE_HOLD,
            false => Duration::ZERO,
        }
    }

    /// Time after which a leaving server gets nothing new.
    pub(crate) fn drain_time(&self) -> Duration {
        self.settings.drain_time.saturating_sub(Self::DRAIN_MARGIN)
    }

    /// Works on a service's keys.
    pub(crate) fn with_key_view<T>(
        &self,
        service: &str,
        work: impl FnOnce(&mut KeyView) -> T,
    ) -> T {
        let mut keys = self.keys.lock().unwrap();
        let view = keys
            .entry(service.into())
            .or_insert_with(|| KeyView::new(self.own_incarnation.clone(), self.timing()));
        work(view)
    }

    fn timing(&self) -> LeaderTiming {
        LeaderTiming {
            grant_duration: Self::TIMING.grant_duration.min(self.settings.max_hold),
            ..Self::TIMING
        }
    }

    /// Time for which keys are granted.
    pub(crate) fn grant_duration(&self) -> Duration {
        self.timing().grant_duration
    }

    /// Services whose servers hold keys.
    pub(crate) fn keyed_services(&self) -> Vec<String> {
        self.keys.lock().unwrap().keys().cloned().collect()
    }

    /// Range of a key, the revision of the record that says so, and whether its owner serves it.
    pub(crate) fn key_range(&self, service: &str, key: u16) -> Option<(KeyRange, u64, bool)> {
        let keys = self.keys.lock().unwrap();
        let view = keys.get(service)?;
        let (record, revision) = view.leader.record()?;
        let range = record.range_of(key)?;
        Some((range.clone(), revision, view.is_served(range)))
    }

    /// Revision of a service's key record.
    pub(crate) fn key_revision(&self, service: &str) -> Option<u64> {
        let keys = self.keys.lock().unwrap();
        Some(keys.get(service)?.leader.record()?.1)
    }

    /// Counts a request for a key.
    pub(crate) fn count_key_request(&self, service: &str, key: u16) {
        let mut keys = self.keys.lock().unwrap();
        if let Some(view) = keys.get_mut(service) {
            view.count_request(key, rand::random());
        }
    }

    /// Instances that share budgets.
    pub(crate) fn instance_count(&self) -> usize {
        self.peers.lock().unwrap().instance_count()
    }

    /// Whether the store is lost and others are heard: they would tell of another leader.
    pub(crate) fn is_only_store_unavailable(&self) -> bool {
        let now = self.now();
        self.store.health.is_unavailable() && self.peers.lock().unwrap().hears_any(now)
    }

    /// Whether this instance leads the keys of a service.
    pub(crate) fn is_leading(&self) -> bool {
        self.keys
            .lock()
            .unwrap()
            .values()
            .any(|view| view.leader.is_leader())
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.route_table().is_some()
            && !self.servers.lock().unwrap().is_empty()
    }
}
