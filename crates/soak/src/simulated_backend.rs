//! Simulated backend server, with its link and its entry in service discovery.

use crate::prelude::*;

/// Server with a fixed identifier, whose processes may crash and be started again.
pub(crate) struct SimulatedBackend {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) data_centre: &'static str,
    pub(crate) link: Arc<LinkProxy>,
    pool: Arc<WorkerPool>,
    store: Arc<SimulatedStore>,
    ledger: Arc<SoakLedger>,
    process: Mutex<Option<Arc<BackendProcess>>>,
    /// Whether the server leaves for good: it is not started again after a crash.
    pub(crate) is_departing: AtomicBool,
    /// State that the server has last written to its entry; `None` if it has none.
    written_state: Mutex<Option<ServerState>>,
    /// Time for which each process is cold after its start.
    cold_time: Duration,
    cold_until: Mutex<MonoTime>,
    /// Address of the current process, behind the link.
    process_address: Mutex<Option<SocketAddr>>,
}

impl SimulatedBackend {
    /// Creates a server, starts its process and registers it in service discovery.
    pub(crate) async fn start(
        world: &SoakWorld,
        service: &'static str,
        id: &str,
        data_centre: &'static str,
    ) -> eyre::Result<Arc<Self>> {
        let host = LoopbackHosts::of_process().platform(&world.plan);
        let placeholder = SocketAddr::from((host, 9));
        let cuts = world.cuts.clone();
        let server = Arc::new(Self {
            id: id.into(),
            service,
            data_centre,
            link: LinkProxy::start_with_cuts(&world.pool, host, placeholder, cuts).await?,
            pool: world.pool.clone(),
            store: world.store.clone(),
            ledger: world.ledger.clone(),
            process: Mutex::default(),
            is_departing: AtomicBool::new(false),
            written_state: Mutex::default(),
            cold_time: world.plan.cold_time,
            cold_until: Mutex::default(),
            process_address: Mutex::default(),
        });
        server.start_process().await?;
        Ok(server)
    }

    /// Starts a new process, routes the link to it, and publishes it as ready, unless it departs.
    pub(crate) async fn start_process(&self) -> eyre::Result<()> {
        if self.is_departing.load(Ordering::SeqCst) {
            return Ok(());
        }
        self.start_unlisted_process().await?;
        self.publish(ServerState::Ready);
        Ok(())
    }

    /// Starts a new process and routes the link to it; its entry remains that of the one before.
    pub(crate) async fn start_unlisted_process(&self) -> eyre::Result<()> {
        let incarnation = new_incarnation(&self.id)?;
        self.begin_cold_period(&incarnation);
        let host = self.link.address.ip();
        let (process, address) =
            BackendProcess::start(&self.pool, host, &self.ledger, self.service, incarnation)
                .await?;
        *self.process.lock().unwrap() = Some(process.clone());
        *self.process_address.lock().unwrap() = Some(address);
        self.ledger.add_backend(process);
        self.link.set_target(address).await
    }

    fn begin_cold_period(&self, incarnation: &ServerIncarnation) {
        let from = SteadyClock.now();
        let until = from.after(self.cold_time);
        *self.cold_until.lock().unwrap() = until;
        self.ledger.cold_periods.lock().unwrap().push(ColdPeriod {
            server: incarnation.clone(),
            from,
            until,
        });
    }

    /// Ends the process abruptly; its entry in service discovery remains.
    pub(crate) fn crash(&self) {
        let process = self.process.lock().unwrap().take();
        self.link.close();
        if let Some(process) = process {
            let mut recovery = self.ledger.recovery.lock().unwrap();
            recovery.record_crash(&process.keys.lock().unwrap(), SteadyClock.now());
            drop(recovery);
            self.ledger.remove_backend(&process.incarnation);
            process.crash();
        }
    }

    /// Refuses new connections for `duration` and cuts all open ones, while the process works on.
    pub(crate) async fn refuse_connections(&self, duration: Duration) -> eyre::Result<()> {
        self.link.close();
        Timer::after(duration).await;
        let address = *self.process_address.lock().unwrap();
        match address {
            Some(address) if self.process().is_some() => self.link.set_target(address).await,
            _ => Ok(()),
        }
    }

    /// Publishes that the server is draining.
    pub(crate) fn start_drain(&self) {
        self.publish(ServerState::Draining);
        self.record_leaving();
    }

    /// Removes the server from service discovery.
    pub(crate) fn deregister(&self) {
        let mut written = self.written_state.lock().unwrap();
        *written = None;
        self.remove_entry();
        drop(written);
        self.record_leaving();
    }

    /// Writes the entry, or its removal, once more; a server without a process writes nothing.
    pub(crate) fn write_again(&self) {
        let written = self.written_state.lock().unwrap();
        match *written {
            Some(state) => self.write_entry(state),
            None if self.process().is_some() => self.remove_entry(),
            None => {}
        }
    }

    /// Removes the entry of a server that has ended for good.
    pub(crate) fn lapse(&self) {
        if self.is_departing.load(Ordering::SeqCst) && self.process().is_none() {
            self.remove_entry();
        }
    }

    fn remove_entry(&self) {
        self.store
            .update(|objects| objects.remove(ObjectKind::Servers, &self.id));
    }

    /// Records that the store was told of the leaving of the server, unless it was before.
    fn record_leaving(&self) {
        if let Some(process) = self.process() {
            let mut since = process.leaving_since.lock().unwrap();
            since.get_or_insert_with(|| SteadyClock.now());
        }
    }

    /// Returns the current process; `None` between a crash and the next start.
    pub(crate) fn process(&self) -> Option<Arc<BackendProcess>> {
        self.process.lock().unwrap().clone()
    }

    fn publish(&self, state: ServerState) {
        let mut written = self.written_state.lock().unwrap();
        *written = Some(state);
        self.write_entry(state);
    }

    /// Writes an entry of a service that no configuration names, at the server's address; removes it
    /// after `duration`.
    pub(crate) async fn write_foreign_entry(&self, duration: Duration) -> eyre::Result<()> {
        let incarnation = new_incarnation(&format!("foreign-{}", self.id))?;
        let entry = ServerEntry {
            service: "another-teams-service".into(),
            ..self.entry(incarnation.clone(), ServerState::Ready)
        };
        self.put_entry(&entry);
        Timer::after(duration).await;
        self.store
            .update(|objects| objects.remove(ObjectKind::Servers, &incarnation.id));
        Ok(())
    }

    /// Entry of a server that starts now in the place of this one, under an identifier.
    pub(crate) fn next_entry(&self, id: &str) -> eyre::Result<ServerEntry> {
        Ok(self.entry(new_incarnation(id)?, ServerState::Ready))
    }

    fn write_entry(&self, state: ServerState) {
        if let Some(process) = self.process() {
            self.put_entry(&self.entry(process.incarnation.clone(), state));
        }
    }

    fn entry(&self, incarnation: ServerIncarnation, state: ServerState) -> ServerEntry {
        ServerEntry {
            incarnation,
            service: self.service.into(),
            address: self.link.address,
            data_centre: self.data_centre.into(),
            slots: BackendProcess::SLOTS as u32,
            state,
            warmup_left: self.cold_until.lock().unwrap().since(SteadyClock.now()),
            sequence: None,
        }
    }

    fn put_entry(&self, entry: &ServerEntry) {
        let (spec, status) = ServerBody::write(entry);
        let id = &entry.incarnation.id;
        self.store.put(ObjectKind::Servers, id, spec, status);
    }
}

/// Incarnation of a server that starts now.
fn new_incarnation(id: &str) -> eyre::Result<ServerIncarnation> {
    let born = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)?
        .as_millis() as u64;
    Ok(ServerIncarnation {
        id: id.into(),
        born,
    })
}
