//! State and life cycle of one running instance.

use crate::prelude::*;
use async_net::TcpListener;

/// Interval at which a stop checks whether requests are still in flight.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Shortest delay between two attempts to register.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between two attempts to register.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// State that all workers of an instance share.
pub(crate) struct InstanceNode {
    pub(crate) id: InstanceId,
    pub(crate) settings: DaemonSettings,
    pub(crate) pool: Arc<WorkerPool>,
    pub(crate) clock: SteadyClock,
    pub(crate) dialer: TcpDialer,
    pub(crate) store: StoreClient,
    pub(crate) tables: NodeTables,
    pub(crate) peers: PeerClient,
    pub(crate) servers: ServerPool,
    pub(crate) dedup: DedupRegistry,
    pub(crate) slots: Arc<SlotBroker>,
    pub(crate) loads: PartLoadTable,
    pub(crate) decisions: DecisionLog,
    pub(crate) feed: FeedState,
    pub(crate) connections: NodeConnections,
    draining: AtomicBool,
    in_flight: Arc<AtomicUsize>,
    /// Set when a stop is near its time limit: requests in flight are then answered with what is
    /// known of their outcome.
    pub(crate) stop_deadline: OneShotEvent,
}

/// Counts a request as in flight until the guard is dropped.
pub(crate) struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl InstanceNode {
    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn count_in_flight(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.in_flight.clone())
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Adds a request that has held a slot since `started_at` to the load of its key's slice in
    /// a led part.
    pub(crate) fn record_load(&self, part: &PartId, hash: KeyHash, started_at: MonoTime) {
        let now = self.clock.now();
        if let Some(start) = self.tables.slice_start(part, hash) {
            self.loads
                .record(part, start, hash, now.since(started_at), now);
        }
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns whether neither the store nor a peer has answered for so long that the configuration
    /// may be outdated.
    pub(crate) fn is_cut_off(&self) -> bool {
        let last_contact = self.feed.contact_times().latest();
        self.clock.now().since(last_contact) > self.settings.cut_off_timeout
    }

    /// Begins a planned stop: the instance is no longer ready, but completes its requests.
    pub(crate) fn begin_drain(&self, reason: &str) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            self.decisions.record(&self.id, "drain", reason);
        }
    }

    /// Returns whether a load balancer may route callers to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining()
            && self.feed.is_confirmed()
            && !self.is_cut_off()
            && self.tables.gate.lock().unwrap().head().is_some()
    }
}

/// Handle by which an instance is started, observed and stopped.
pub struct InstanceHandle {
    node: Arc<InstanceNode>,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    operator_address: SocketAddr,
}

impl InstanceHandle {
    /// Binds the listeners of an instance, registers it and starts its workers.
    pub async fn start(settings: DaemonSettings, dialer: TcpDialer) -> eyre::Result<Self> {
        let pool = WorkerPool::start(&settings.name, settings.workers)?;
        let callers = HttpListener::bind(settings.caller_address, settings.limits).await?;
        let operators = HttpListener::bind(settings.operator_address, settings.limits).await?;
        let peers = TcpListener::bind(settings.peer_address).await?;
        let record = InstanceRecord {
            id: InstanceId::new(&settings.name, settings.incarnation),
            peer_address: peers.local_addr()?,
            data_centre: settings.data_centre.clone(),
            leaving: false,
        };
        let feed = FeedState::new(SteadyClock.now());
        let node = Arc::new(InstanceNode {
            id: record.id.clone(),
            pool: pool.clone(),
            clock: SteadyClock,
            dialer: dialer.clone(),
            store: StoreClient::new(pool.clone(), dialer.clone(), settings.store_address),
            tables: NodeTables::new(&record.id, settings.timing, SteadyClock.now()),
            peers: PeerClient::new(pool.clone(), dialer, &settings, feed.hints.clone()),
            servers: ServerPool::default(),
            dedup: DedupRegistry::default(),
            slots: Arc::default(),
            loads: PartLoadTable::default(),
            decisions: DecisionLog::default(),
            feed,
            connections: NodeConnections {
                callers: callers.connections(),
                operators: operators.connections(),
                ..NodeConnections::default()
            },
            draining: AtomicBool::new(false),
            in_flight: Arc::default(),
            stop_deadline: OneShotEvent::default(),
            settings,
        });
        let caller_address = callers.local_address()?;
        let operator_address = operators.local_address()?;
        let peer_address = peers.local_addr()?;
        pool.spawn(peer_listener::run(node.clone(), peers));
        let shared = node.clone();
        let answer = move |request| caller_listener::answer(shared.clone(), request);
        pool.spawn(callers.serve(pool.clone(), answer));
        let shared = node.clone();
        let answer = move |request| operator_listener::answer(shared.clone(), request);
        pool.spawn(operators.serve(pool.clone(), answer));
        pool.spawn(metric_worker::run(node.clone()));
        pool.spawn(register(node.clone(), record));
        pool.spawn(store_watcher::run(node.clone()));
        pool.spawn(instance_pruner::run(node.clone()));
        pool.spawn(election_worker::run(node.clone()));
        pool.spawn(grant_worker::run(node.clone()));
        pool.spawn(reassignment_worker::run(node.clone()));
        pool.spawn(balance_worker::run(node.clone()));
        pool.spawn(dedup_worker::run(node.clone()));
        Ok(Self {
            node,
            caller_address,
            peer_address,
            operator_address,
        })
    }

    /// Address on which callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address on which other instances are served.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Address on which operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns whether a load balancer may route callers to this instance.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Returns the revision of the configuration in force, 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.node.tables.gate.lock().unwrap().revision()
    }

    /// Stops gracefully: the instance is no longer ready, completes the requests in flight and
    /// closes each connection after its next exchange.
    ///
    /// Returns false if requests were still in flight near the time limit of the settings; they
    /// were then answered with what was known of their outcome.
    pub async fn stop(&self) -> bool {
        let node = &self.node;
        let timeout = node.settings.stop_timeout;
        let answer_time = LAST_ANSWER_TIME.min(timeout / 4);
        node.connections.callers.disable_keep_alive();
        let timed_out = async {
            Timer::after(timeout - answer_time).await;
            node.connections.callers.stop_accepting();
            node.stop_deadline.set();
            Timer::after(answer_time).await;
        };
        let drained = async {
            drain(node, "graceful stop").await;
            while node.in_flight() > 0 {
                Timer::after(DRAIN_CHECK_INTERVAL).await;
            }
            node.connections.callers.stop_accepting();
            node.connections.callers.close();
            while node.in_flight() + node.connections.callers.count() > 0 {
                Timer::after(DRAIN_CHECK_INTERVAL).await;
            }
        };
        future::or(drained, timed_out).await;
        node.pool.stop();
        !node.stop_deadline.is_set()
    }

    /// Hands over every part that this instance leads, takes no new role, and returns once other
    /// instances may lead these parts. Requests are still served.
    pub async fn drain(&self) {
        drain(&self.node, "drain").await;
    }

    /// Ends the instance at once, like a crash of its process.
    pub fn kill(&self) {
        self.node.pool.stop();
    }

    /// Suspends all work of the instance, like a frozen process.
    pub fn pause(&self) {
        self.node.pool.pause();
    }

    /// Resumes the work after a pause.
    pub fn resume(&self) {
        self.node.pool.resume();
    }
}

/// Hands over every part that the instance leads; it takes no new role from now on.
pub(crate) async fn drain(node: &Arc<InstanceNode>, reason: &str) {
    node.begin_drain(reason);
    node.pool.spawn(announce_leaving(node.clone()));
    election_worker::hand_over(node).await;
}

/// Marks the instance as leaving in its registration, so that other instances give it no new role.
async fn announce_leaving(node: Arc<InstanceNode>) {
    let own_record = {
        let instances = node.tables.instances.lock().unwrap();
        instances.get(&node.id.name).cloned()
    };
    if let Some(own_record) = own_record.filter(|record| record.id == node.id) {
        let leaving = InstanceRecord {
            leaving: true,
            ..own_record
        };
        register(node, leaving).await;
    }
}

/// Writes the registration of the instance to the store, retrying until it is there.
async fn register(node: Arc<InstanceNode>, record: InstanceRecord) {
    let path = ObjectPath::instance(&record.id.name);
    let mut backoff = RetryBackoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let condition = match node.store.read(&path).await {
            Ok(None) => Some(WriteCondition::Absent),
            Ok(Some(object))
                if object.decode::<InstanceRecord>().ok().as_ref() == Some(&record) =>
            {
                return;
            }
            Ok(Some(object)) => Some(WriteCondition::Version(object.version)),
            Err(_) => None,
        };
        if let Some(condition) = condition
            && let Ok(WriteOutcome::Written(_)) =
                node.store.write(&path, condition, &record, "").await
        {
            return;
        }
        Timer::after(backoff.next_delay(rand::random())).await;
    }
}
