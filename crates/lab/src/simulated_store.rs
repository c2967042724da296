//! Simulation of the platform's object store.

use crate::prelude::*;

/// HTTP server on loopback with versioned objects, conditional writes, watches and a list of
/// instances.
pub struct SimulatedStore {
    pool: Arc<WorkerPool>,
    address: SocketAddr,
    state: Arc<StoreState>,
}

/// Fault of the store's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Requests are never answered.
    Down,
    /// Each answer is delayed by this time.
    Slow(Duration),
    /// Writes take effect but are never answered.
    LostAnswers,
}

/// State that all connections of the store share.
#[derive(Default)]
pub(crate) struct StoreState {
    pub(crate) objects: Mutex<StoreObjects>,
    pub(crate) list: Mutex<InstanceList>,
    pub(crate) changed: event_listener::Event,
    pub(crate) fault: Mutex<StoreFault>,
    pub(crate) list_lag: Mutex<Duration>,
    pub(crate) watch_lag: Mutex<Duration>,
    pub(crate) calls: Mutex<IndexMap<String, u64>>,
}

impl SimulatedStore {
    /// Initial lag of the list of instances.
    const LIST_LAG: Duration = Duration::from_secs(1);

    /// Starts an empty store on a free port.
    pub async fn start() -> eyre::Result<Self> {
        Self::start_at(([127, 0, 0, 1], 0).into()).await
    }

    /// Starts an empty store at `address`.
    pub async fn start_at(address: SocketAddr) -> eyre::Result<Self> {
        let pool = WorkerPool::start("store", 1)?;
        let limits = HttpLimits {
            max_head_bytes: 2 << 20,
            ..HttpLimits::default()
        };
        let listener = HttpListener::bind(address, limits).await?;
        let address = listener.local_address()?;
        let state = Arc::new(StoreState::default());
        *state.list_lag.lock().unwrap() = Self::LIST_LAG;
        let shared = state.clone();
        let answer = move |request| store_exchange::answer(shared.clone(), request);
        pool.spawn(listener.serve(pool.clone(), answer));
        Ok(Self {
            pool,
            address,
            state,
        })
    }

    /// Address at which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets or clears the fault of the store's answers.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.state.fault.lock().unwrap() = fault;
        self.state.changed.notify(usize::MAX);
    }

    /// Sets the time after which a write becomes visible to watches.
    pub fn set_watch_lag(&self, lag: Duration) {
        *self.state.watch_lag.lock().unwrap() = lag;
    }

    /// Sets the time after which a change becomes visible in the list of instances.
    pub fn set_list_lag(&self, lag: Duration) {
        *self.state.list_lag.lock().unwrap() = lag;
    }

    /// Number of calls so far, by kind.
    pub fn calls(&self) -> IndexMap<String, u64> {
        self.state.calls.lock().unwrap().clone()
    }

    /// Adds a started instance to the list.
    pub fn instance_started(&self, entry: ListedInstance) {
        let name = entry.name.clone();
        self.state.list.lock().unwrap().change(&name, Some(entry));
    }

    /// Changes the state of a listed instance to leaving.
    pub fn instance_leaving(&self, name: &str) {
        self.state.list.lock().unwrap().leaving(name);
    }

    /// Removes an ended instance from the list.
    pub fn instance_ended(&self, name: &str) {
        self.state.list.lock().unwrap().change(name, None);
    }

    /// All versions of all part records with the times of their writes, oldest first.
    pub fn part_history(&self) -> Vec<(MonoTime, PartRecord)> {
        let objects = self.state.objects.lock().unwrap();
        let paths = objects.paths(ObjectPath::PARTS);
        let states = paths.iter().flat_map(|path| objects.history(path));
        let mut records: Vec<_> = states
            .filter_map(|state| {
                let wire: PartWire = serde_json::from_value(state.value.clone()?).ok()?;
                Some((state.at, PartRecord::try_from(wire).ok()?))
            })
            .collect();
        records.sort_by_key(|(at, _)| *at);
        records
    }

    /// Latest record of each part.
    pub fn parts(&self) -> IndexMap<PartId, PartRecord> {
        let history = self.part_history().into_iter();
        history
            .map(|(_, record)| (record.id.clone(), record))
            .collect()
    }
}

impl Drop for SimulatedStore {
    fn drop(&mut self) {
        self.pool.stop();
    }
}
