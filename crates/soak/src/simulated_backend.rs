//! A server stand-in over its lives, with its link and its entry in discovery.

use crate::prelude::*;

/// A server.
pub(crate) struct SimulatedBackend {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) link: Arc<LinkProxy>,
    pool: Arc<WorkerPool>,
    store: Arc<SimulatedStore>,
    ledger: Arc<SoakLedger>,
    life: Mutex<Option<Arc<BackendProcess>>>,
}

impl SimulatedBackend {
    /// Starts a server and enters it in discovery.
    pub(crate) async fn start(
        pool: &Arc<WorkerPool>,
        store: &Arc<SimulatedStore>,
        ledger: &Arc<SoakLedger>,
        service: &'static str,
        id: &str,
    ) -> eyre::Result<Arc<Self>> {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
        let server = Arc::new(Self {
            id: id.into(),
            service,
            link: LinkProxy::start(pool, nowhere).await?,
            pool: pool.clone(),
            store: store.clone(),
            ledger: ledger.clone(),
            life: Mutex::default(),
        });
        server.begin().await?;
        Ok(server)
    }

    /// Begins a life.
    pub(crate) async fn begin(&self) -> eyre::Result<()> {
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)?
            .as_millis() as u64;
        let mark = ServerIncarnation {
            id: self.id.clone(),
            born,
        };
        let (life, address) =
            BackendProcess::start(&self.pool, &self.ledger, self.service, mark).await?;
        *self.life.lock().unwrap() = Some(life.clone());
        self.ledger.life_began(life);
        self.link.set_target(Some(address)).await;
        self.enter(ServerState::Ready);
        Ok(())
    }

    /// Ends the life, as a crash does; the entry stays.
    pub(crate) async fn crash(&self) {
        let life = self.life.lock().unwrap().take();
        self.link.set_target(None).await;
        if let Some(life) = life {
            self.ledger.life_ended(&life.mark);
            life.end();
        }
    }

    /// Says that the server leaves.
    pub(crate) fn leave(&self) {
        self.enter(ServerState::Draining);
        if let Some(life) = self.life() {
            *life.leaving_since.lock().unwrap() = Some(SteadyClock.now());
        }
    }

    /// Takes the entry out.
    pub(crate) fn vanish(&self) {
        self.store
            .change(|shelf| shelf.remove(ObjectKind::Servers, &self.id));
    }

    /// The current life.
    pub(crate) fn life(&self) -> Option<Arc<BackendProcess>> {
        self.life.lock().unwrap().clone()
    }

    fn enter(&self, state: ServerState) {
        let Some(life) = self.life() else { return };
        let (spec, status) = ServerBody::write(&ServerEntry {
            incarnation: life.mark.clone(),
            service: self.service.into(),
            address: self.link.address,
            data_centre: "dc1".into(),
            slots: BackendProcess::SLOTS as u32,
            state,
            warmup_left: Duration::ZERO,
        });
        self.store
            .change(|shelf| shelf.put(ObjectKind::Servers, &self.id, spec, status));
    }
}
