//! One running instance.

use crate::prelude::*;
use async_net::TcpListener;

/// Interval at which a stop looks for requests in flight.
const DRAIN_INTERVAL: Duration = Duration::from_millis(5);

/// Least pause between two tries to register.
const LEAST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two tries to register.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// State that all workers of an instance reach.
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
    /// Given when requests are to be answered as they stand.
    pub(crate) stop_deadline: OneShotEvent,
}

/// Counts a request while it is held.
pub(crate) struct FlightGuard(Arc<AtomicUsize>);

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl InstanceNode {
    /// Counts a request in flight until the guard is dropped.
    pub(crate) fn count_in_flight(&self) -> FlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        FlightGuard(self.in_flight.clone())
    }

    /// Requests held now.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Meters a request for a key of a led part that has held a slot since `started`.
    pub(crate) fn meter(&self, part: &PartId, hash: KeyHash, started: MonoTime) {
        let now = self.clock.now();
        if let Some(start) = self.tables.slice_start(part, hash) {
            self.loads
                .record(part, start, hash, now.since(started), now);
        }
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Whether neither store nor peer was heard for so long that the configuration may be old.
    pub(crate) fn is_cut_off(&self) -> bool {
        let heard = self.feed.contact_times().latest();
        self.clock.now().since(heard) > self.settings.cut_off_timeout
    }

    /// Begins a planned stop: not ready from now on; requests are served to their end.
    pub(crate) fn begin_drain(&self, reason: &str) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            self.decisions.record(&self.id, "drain", reason);
        }
    }

    /// Whether the balancer may send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining()
            && self.feed.is_started()
            && !self.is_cut_off()
            && self.tables.gate.lock().unwrap().head().is_some()
    }
}

/// Handle of a running instance.
pub struct InstanceHandle {
    node: Arc<InstanceNode>,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    operator_address: SocketAddr,
}

impl InstanceHandle {
    /// Starts an instance: binds its listeners, registers it and runs its workers.
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

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Revision of the configuration in force here, 0 before the first.
    pub fn revision(&self) -> u64 {
        self.node.tables.gate.lock().unwrap().revision()
    }

    /// Stops gracefully: not ready, requests in flight served to their end, connections closed after
    /// their next exchange.
    ///
    /// False when something was still in flight near the settings' bound; it was answered as it stood.
    pub async fn stop(&self) -> bool {
        let node = &self.node;
        let limit = node.settings.stop_timeout;
        let answer_time = LAST_ANSWER_TIME.min(limit / 4);
        node.connections.callers.disable_keep_alive();
        let late = async {
            Timer::after(limit - answer_time).await;
            node.connections.callers.stop_accepting();
            node.stop_deadline.set();
            Timer::after(answer_time).await;
        };
        let ended = async {
            drain(node, "graceful stop").await;
            while node.in_flight() > 0 {
                Timer::after(DRAIN_INTERVAL).await;
            }
            node.connections.callers.stop_accepting();
            node.connections.callers.close();
            while node.in_flight() + node.connections.callers.count() > 0 {
                Timer::after(DRAIN_INTERVAL).await;
            }
        };
        future::or(ended, late).await;
        node.pool.stop();
        !node.stop_deadline.is_set()
    }

    /// Hands over every part that this instance leads and takes no new role; goes on serving what it
    /// holds. Ends when another instance may lead each part.
    pub async fn drain(&self) {
        drain(&self.node, "drain").await;
    }

    /// Ends the instance at once, as a crash would.
    pub fn kill(&self) {
        self.node.pool.stop();
    }

    /// Holds all of the instance's work, as a frozen process would stand still.
    pub fn pause(&self) {
        self.node.pool.pause();
    }

    /// Ends a pause.
    pub fn resume(&self) {
        self.node.pool.resume();
    }
}

/// Takes no new role and hands over every part that this instance leads.
pub(crate) async fn drain(node: &Arc<InstanceNode>, reason: &str) {
    node.begin_drain(reason);
    node.pool.spawn(announce_leaving(node.clone()));
    election_worker::hand_over(node).await;
}

/// Marks the instance as leaving in the platform's list, so that it gets no new role.
async fn announce_leaving(node: Arc<InstanceNode>) {
    let own = {
        let instances = node.tables.instances.lock().unwrap();
        instances.get(&node.id.name).cloned()
    };
    if let Some(own) = own.filter(|own| own.id == node.id) {
        let leaving = InstanceRecord {
            leaving: true,
            ..own
        };
        register(node, leaving).await;
    }
}

/// Registers the instance in the store once, trying until it has succeeded.
async fn register(node: Arc<InstanceNode>, record: InstanceRecord) {
    let path = ObjectPath::instance(&record.id.name);
    let mut pause = RetryBackoff::new(LEAST_PAUSE, LONGEST_PAUSE);
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
        Timer::after(pause.next_delay(rand::random())).await;
    }
}
