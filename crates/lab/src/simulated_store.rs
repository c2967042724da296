//! Stand-in for the platform's object API.

use crate::prelude::*;

/// The store: objects with versions, conditional updates and watches.
pub struct SimulatedStore {
    pool: Arc<WorkerPool>,
    address: SocketAddr,
    state: Arc<StoreState>,
}

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// As it should.
    #[default]
    None,
    /// Not at all.
    Down,
    /// Each answer comes late by this time.
    Slow(Duration),
    /// Writes take effect, their answers are lost.
    LostAnswers,
}

/// State shared by the store's exchanges.
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
    /// Time by which the list of instances lags.
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

    /// Address of the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the store answers.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.state.fault.lock().unwrap() = fault;
        self.state.changed.notify(usize::MAX);
    }

    /// Sets the time by which watches lag.
    pub fn set_watch_lag(&self, lag: Duration) {
        *self.state.watch_lag.lock().unwrap() = lag;
    }

    /// Sets the time by which the list of instances lags.
    pub fn set_list_lag(&self, lag: Duration) {
        *self.state.list_lag.lock().unwrap() = lag;
    }

    /// Calls taken so far by kind.
    pub fn calls(&self) -> IndexMap<String, u64> {
        self.state.calls.lock().unwrap().clone()
    }

    /// Lists an instance that has started.
    pub fn instance_started(&self, entry: ListedInstance) {
        let name = entry.name.clone();
        self.state.list.lock().unwrap().change(&name, Some(entry));
    }

    /// Lists an instance as leaving.
    pub fn instance_leaving(&self, name: &str) {
        self.state.list.lock().unwrap().leaving(name);
    }

    /// Takes an instance off the list.
    pub fn instance_ended(&self, name: &str) {
        self.state.list.lock().unwrap().change(name, None);
    }

    /// All states of the records of all parts, oldest first, with their times.
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

    /// Latest records of all parts.
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
