//! Instances and simulated platform of one run.

use crate::{evacuation_fault, prelude::*, server_cuts::ServerCuts, soak_routes};

/// Instances, simulated platform, and the records of what happened to them.
pub(crate) struct SoakWorld {
    pub(crate) plan: SoakPlan,
    pub(crate) pool: Arc<WorkerPool>,
    pub(crate) ledger: Arc<SoakLedger>,
    pub(crate) store: Arc<SimulatedStore>,
    pub(crate) instances: Vec<Arc<InstanceProcess>>,
    pub(crate) servers: Mutex<Vec<Arc<SimulatedBackend>>>,
    /// All servers that ever had an entry, also those that have left.
    pub(crate) registered: Mutex<Vec<Arc<SimulatedBackend>>>,
    pub(crate) balancer: SimulatedBalancer,
    /// Instances that are cut off from the servers.
    pub(crate) cuts: Arc<ServerCuts>,
    /// Whether callers and probes continue to send requests.
    pub(crate) is_sending: AtomicBool,
    revision: AtomicU64,
    /// Revision of the configuration that the store contains; it is lower than `revision` from a
    /// restore until the operator has written again. Changed under the store's lock only.
    stored_revision: AtomicU64,
    servers_added: AtomicU64,
    requests_created: AtomicU64,
}

impl SoakWorld {
    /// Number of instances that are the seeds of all instances: a starting instance contacts them
    /// first.
    const SEED_INSTANCES: usize = 2;

    /// Starts the simulated platform with its servers; does not start any instance.
    pub(crate) async fn build(plan: &SoakPlan) -> eyre::Result<Arc<Self>> {
        let pool = WorkerPool::start("soak", 2)?;
        let ledger: Arc<SoakLedger> = Arc::default();
        let store =
            SimulatedStore::start(&pool, LoopbackHosts::of_process().platform(plan)).await?;
        let mut instances = Vec::new();
        for number in 0..plan.instances {
            instances.push(InstanceProcess::new(&pool, plan, number, store.address).await?);
        }
        let cuts = ServerCuts::new(&ledger)?;
        let world = Arc::new(Self {
            plan: plan.clone(),
            pool,
            ledger,
            store,
            instances,
            servers: Mutex::default(),
            registered: Mutex::default(),
            balancer: SimulatedBalancer::default(),
            cuts,
            is_sending: AtomicBool::new(true),
            revision: AtomicU64::new(0),
            stored_revision: AtomicU64::new(0),
            servers_added: AtomicU64::new(0),
            requests_created: AtomicU64::new(0),
        });
        world.publish_configuration();
        for service in [soak_routes::PLAIN_SERVICE, soak_routes::KEYED_SERVICE] {
            for _ in 0..plan.servers {
                world.add_server(service).await?;
            }
        }
        for service in soak_routes::PROBED_SERVICES {
            world.add_server(service).await?;
        }
        Ok(world)
    }

    /// Starts an instance unless it is running.
    pub(crate) fn start_instance(&self, number: usize) -> eyre::Result<()> {
        let seeds: Vec<String> = self
            .instances
            .iter()
            .take(Self::SEED_INSTANCES)
            .map(|instance| instance.feed_address().to_string())
            .collect();
        self.instances[number].start(&seeds.join(","))
    }

    /// Writes the next revision of the configuration to the store, unless the operator has not yet
    /// written the earlier ones again after a restore.
    pub(crate) fn publish_configuration(&self) {
        // The revision is counted under the store's lock: two changes at once keep their order.
        let written = self.store.update(|objects| {
            let revision = self.newest_revision();
            if self.stored_revision.load(Ordering::SeqCst) < revision {
                return Ok(None);
            }
            let revision = revision + 1;
            self.revision.store(revision, Ordering::SeqCst);
            self.write_revision(objects, revision)?;
            Ok(Some((revision, SteadyClock.now())))
        });
        match written {
            Ok(written) => self.ledger.revisions.lock().unwrap().extend(written),
            Err(fault) => self.report_unwritten(&fault),
        }
    }

    /// Writes all revisions of the configuration once more that the store has lost.
    pub(crate) fn write_configuration_again(&self) {
        let written = self.store.update(|objects| {
            let lost = self.stored_revision.load(Ordering::SeqCst) + 1..=self.newest_revision();
            lost.into_iter()
                .try_for_each(|revision| self.write_revision(objects, revision))
        });
        if let Err(fault) = written {
            self.report_unwritten(&fault);
        }
    }

    fn write_revision(&self, objects: &mut StoreObjects, revision: u64) -> Result<(), BodyError> {
        let (kind, name) = (ObjectKind::Configuration, ObjectKind::CONFIGURATION_NAME);
        let spec =
            ConfigurationBody::write(&soak_routes::build_table(revision, self.plan.idle_routes))?;
        objects.put(kind, name, spec, serde_json::Value::Null);
        self.stored_revision.store(revision, Ordering::SeqCst);
        Ok(())
    }

    fn report_unwritten(&self, fault: &BodyError) {
        self.ledger.add_violation("SOAK", &fault.to_string());
    }

    /// Copies the store, and the revision of the configuration that it contains.
    pub(crate) fn copy_store(&self) -> (StoreObjects, u64) {
        let objects = self.store.objects.lock().unwrap();
        (objects.clone(), self.stored_revision.load(Ordering::SeqCst))
    }

    /// Restores the store from a copy.
    pub(crate) fn restore_store(&self, (objects, revision): &(StoreObjects, u64)) {
        self.store.update(|current| {
            current.restore(objects);
            self.stored_revision.store(*revision, Ordering::SeqCst);
        });
    }

    /// Returns the newest revision of the configuration.
    pub(crate) fn newest_revision(&self) -> u64 {
        self.revision.load(Ordering::SeqCst)
    }

    /// Starts a new server of a service.
    pub(crate) async fn add_server(&self, service: &'static str) -> eyre::Result<()> {
        let number = self.servers_added.fetch_add(1, Ordering::SeqCst);
        let id = format!("{service}-{number}");
        let data_centre = evacuation_fault::data_centre_of(&self.plan, number);
        let server = SimulatedBackend::start(self, service, &id, data_centre).await?;
        self.registered.lock().unwrap().push(server.clone());
        self.servers.lock().unwrap().push(server);
        Ok(())
    }

    /// Whether a service has any server.
    pub(crate) fn has_server(&self, service: &str) -> bool {
        let servers = self.servers.lock().unwrap();
        servers.iter().any(|server| server.service == service)
    }

    /// Returns an unused request identifier.
    pub(crate) fn next_request_id(&self) -> String {
        let number = self.requests_created.fetch_add(1, Ordering::Relaxed);
        format!("{:08x}{number:08x}", self.plan.seed as u32)
    }
}
