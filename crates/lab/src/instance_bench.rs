//! A store, servers and instances, started together on loopback.

use crate::prelude::*;

/// What a bench starts.
#[derive(Clone, Debug)]
pub struct BenchPlan {
    /// Number of instances.
    pub instances: usize,
    /// Number of servers of each service.
    pub servers: usize,
    /// Behaviour of the servers.
    pub behaviour: ServerBehaviour,
}

impl Default for BenchPlan {
    fn default() -> Self {
        Self {
            instances: 2,
            servers: 3,
            behaviour: ServerBehaviour {
                run_time: Duration::from_millis(5),
                checks_fences: false,
                exclusive: true,
            },
        }
    }
}

/// A running bench.
pub struct InstanceBench {
    /// Store.
    pub store: StoreStandin,
    /// Servers of the exclusive service `reports`.
    pub servers: Vec<ServerStandin>,
    /// Instances.
    pub instances: Vec<InstanceNode>,
    /// What the servers saw.
    pub ledger: Arc<TruthLedger>,
    pool: Arc<WorkerPool>,
}

impl InstanceBench {
    /// Shared secret of the bench's instances.
    const SECRET: &'static str = "bench-secret";
    /// Longest time until all instances serve.
    const START_TIMEOUT: Duration = Duration::from_secs(10);

    /// Starts everything and waits until each instance answers a lookup.
    pub async fn start(plan: &BenchPlan) -> eyre::Result<Self> {
        let ledger = Arc::new(TruthLedger::default());
        let store = StoreStandin::start().await?;
        let mut servers = Vec::new();
        for index in 0..plan.servers {
            let name = format!("reports-{index}");
            servers
                .push(ServerStandin::start(&name, plan.behaviour.clone(), ledger.clone()).await?);
        }
        let pool = WorkerPool::start("bench", 1)?;
        let client = StoreClient::new(pool.clone(), Dialer::direct(), store.address());
        let head = Self::head(&servers, &plan.behaviour);
        client
            .write(
                &ObjectPath::head(),
                WriteCondition::Absent,
                &head,
                &head.write_id,
            )
            .await?;
        let mut instances = Vec::new();
        for index in 0..plan.instances {
            let settings = DaemonSettings::builder(&format!("entry-{index}"))
                .store_address(store.address())
                .peer_secret(Self::SECRET)
                .build();
            instances.push(InstanceNode::start(settings, Dialer::direct()).await?);
        }
        let bench = Self {
            store,
            servers,
            instances,
            ledger,
            pool,
        };
        bench.wait_serving().await?;
        Ok(bench)
    }

    fn head(servers: &[ServerStandin], behaviour: &ServerBehaviour) -> HeadRecord {
        let declare = |server: &ServerStandin| ServerDeclaration {
            name: server.name().clone(),
            address: server.address(),
            data_centre: "dc1".into(),
            slots: 3,
            connections: 100,
            checks_fences: behaviour.checks_fences,
        };
        let class = |name: &str, method: &str, repeatable| RequestClass {
            name: name.into(),
            methods: vec![method.into()],
            path: None,
            repeatable,
            priority: 0,
            deadline_ms: 2_000,
            max_body_bytes: 1 << 20,
            max_answer_bytes: 1 << 20,
        };
        let service = ServiceDeclaration {
            kind: ServiceKind::Exclusive,
            parts: 1,
            classes: vec![class("lookup", "GET", true), class("filing", "POST", false)],
            servers: servers.iter().map(declare).collect(),
        };
        HeadRecord {
            revision: 1,
            preset: "ordinary".into(),
            presets: IndexMap::from([("ordinary".into(), PresetDeclaration::default())]),
            services: IndexMap::from([(ServiceName::new("reports"), service)]),
            changed_by: "bench".into(),
            changed_at_ms: 0,
            write_id: "bench".into(),
            ..HeadRecord::default()
        }
    }

    async fn wait_serving(&self) -> eyre::Result<()> {
        let deadline = SteadyClock.now().after(Self::START_TIMEOUT);
        for index in 0..self.instances.len() {
            while self.get(index, "/reports/start").await?.status() != StatusCode::OK {
                eyre::ensure!(
                    SteadyClock.now() < deadline,
                    "instance {index} does not serve"
                );
                Timer::after(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Sends a lookup to an instance.
    pub async fn get(&self, instance: usize, target: &str) -> eyre::Result<Response<Bytes>> {
        self.send(instance, Method::GET, target, Bytes::new()).await
    }

    /// Sends a request to an instance.
    pub async fn send(
        &self,
        instance: usize,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> eyre::Result<Response<Bytes>> {
        let address = self.instances[instance].caller_address();
        let client = HttpClient::new(self.pool.clone(), Dialer::direct(), address);
        let request = Request::builder()
            .method(method)
            .uri(target)
            .header("host", "callers")
            .body(Full::new(body))?;
        Ok(client.exchange(request, Duration::from_secs(5)).await?)
    }
}

impl Drop for InstanceBench {
    fn drop(&mut self) {
        for instance in &self.instances {
            instance.kill();
        }
        self.pool.stop();
    }
}
