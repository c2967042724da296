//! A simulated store, simulated servers and real instances, started together on loopback.

use crate::prelude::*;

/// Running store, servers and instances, with control over faults.
pub struct TestCluster {
    /// Store that all instances use.
    pub store: SimulatedStore,
    /// Servers of all services.
    pub servers: Vec<SimulatedServer>,
    /// Instances, by their number.
    pub instances: Vec<Arc<InstanceHandle>>,
    /// Requests and grants that the servers recorded.
    pub ledger: Arc<GroundTruthLedger>,
    /// Proxied links of each instance, by the instance's number.
    pub links: Vec<Arc<LinkTable>>,
    /// Balancer that selects instances for callers.
    pub balancer: Arc<SimulatedBalancer>,
    /// Operator that changes the configuration.
    pub operator: Arc<ConfigurationOperator>,
    pub(crate) plan: ClusterPlan,
    pub(crate) pool: Arc<WorkerPool>,
    incarnation: u64,
    started: Vec<MonoTime>,
}

impl TestCluster {
    /// Secret that the instances share for peer connections.
    const SECRET: &'static str = "bench-secret";
    /// Token that operators' requests need.
    pub const TOKEN: &'static str = "bench-token";
    /// Interval of the balancer's readiness checks; a stopping instance stays listed this long.
    const BALANCER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
    /// Time limit for all instances to become able to serve.
    const START_TIMEOUT: Duration = Duration::from_secs(10);

    /// Starts the cluster and waits until each instance answers a lookup of each service.
    pub async fn start(plan: &ClusterPlan) -> eyre::Result<Self> {
        let mut plan = plan.clone();
        if plan.services.is_empty() {
            plan.services.push(ClusterService {
                name: "reports",
                kind: ServiceKind::Exclusive,
                servers: plan.servers,
                repeatable: true,
                priority: 0,
                behaviour: plan.behaviour.clone(),
            });
        }
        let port = plan.first_port.unwrap_or(0);
        let pool = WorkerPool::start("bench", 2)?;
        let store = SimulatedStore::start_at(([127, 0, 0, 1], port).into()).await?;
        let client = StoreClient::new(pool.clone(), TcpDialer::direct(), store.address());
        let mut cluster = Self {
            store,
            operator: Arc::new(ConfigurationOperator::new(client)),
            servers: Vec::new(),
            instances: Vec::new(),
            ledger: Arc::default(),
            links: Vec::new(),
            balancer: Arc::default(),
            pool,
            incarnation: 0,
            started: Vec::new(),
            plan,
        };
        for service in cluster.plan.services.clone() {
            for index in 0..service.servers {
                cluster.start_server(&service, index).await?;
            }
        }
        cluster.declare_services().await?;
        for index in 0..cluster.plan.instances {
            cluster.start_instance(index).await?;
        }
        cluster.wait_until_serving().await?;
        Ok(cluster)
    }

    /// Data centre of the instance or server with number `number`.
    pub fn data_centre(number: usize) -> String {
        format!("dc{}", number % 3 + 1)
    }

    async fn start_server(&mut self, service: &ClusterService, index: usize) -> eyre::Result<()> {
        let name = service.server_name(index);
        let server =
            SimulatedServer::start(&name, service.behaviour.clone(), self.ledger.clone()).await?;
        self.servers.push(server);
        Ok(())
    }

    /// Starts one more server of a service and declares it.
    pub async fn add_server(&mut self, service: &str) -> eyre::Result<()> {
        let services = &mut self.plan.services;
        let service = services.iter_mut().find(|known| known.name == service);
        let service = service.ok_or_else(|| eyre::eyre!("no such service"))?;
        service.servers += 1;
        let service = service.clone();
        self.start_server(&service, service.servers - 1).await?;
        self.declare_services().await
    }

    /// Server with the name `name`.
    pub fn server(&self, name: &str) -> &SimulatedServer {
        let servers = &mut self.servers.iter();
        let found = servers.find(|server| server.name().as_str() == name);
        found.expect("a server of the cluster")
    }

    /// Restarts a killed server at its old address.
    pub async fn restart_server(&mut self, name: &str) -> eyre::Result<()> {
        let old = self.server(name);
        let (address, behaviour) = (old.address(), old.behaviour());
        let behaviour = ServerBehaviour {
            leaving: false,
            ..behaviour
        };
        let ledger = self.ledger.clone();
        let server = SimulatedServer::start_at(address, name, behaviour, ledger).await?;
        self.servers.retain(|old| old.name().as_str() != name);
        self.servers.push(server);
        Ok(())
    }

    /// Starts the instance `index`, or a new incarnation of it.
    pub async fn start_instance(&mut self, index: usize) -> eyre::Result<()> {
        self.incarnation += 1;
        let name = format!("entry-{index}");
        let at = |offset: u16| {
            let port = self.plan.first_port;
            let port = port.map_or(0, |port| port + offset + 10 * (index as u16 + 1));
            SocketAddr::from(([127, 0, 0, 1], port))
        };
        let settings = DaemonSettings::builder(&name)
            .incarnation(self.incarnation)
            .data_centre(&Self::data_centre(index))
            .caller_address(at(0))
            .operator_address(at(1))
            .store_address(self.store.address())
            .peer_secret(Self::SECRET)
            .operator_token(Self::TOKEN)
            .stop_timeout(self.plan.stop_timeout)
            .workers(self.plan.workers)
            .build();
        let links = LinkTable::new(self.pool.clone());
        let dialer = match self.plan.links {
            true => links.dialer(),
            false => TcpDialer::direct(),
        };
        let instance = Arc::new(InstanceHandle::start(settings, dialer).await?);
        self.store.instance_started(ListedInstance {
            name,
            incarnation: self.incarnation,
            address: instance.peer_address(),
            data_centre: Self::data_centre(index),
            state: ListedState::Live,
        });
        let target = BalancerTarget {
            address: instance.caller_address(),
            listed: true,
            stopping: false,
        };
        self.balancer.set(index, target);
        match index < self.instances.len() {
            true => {
                (self.instances[index], self.links[index]) = (instance, links);
                self.started[index] = SteadyClock.now();
            }
            false => {
                self.started.push(SteadyClock.now());
                self.instances.push(instance);
                self.links.push(links);
            }
        }
        Ok(())
    }

    /// Start time of the instance `index`; `None` if it is killed or stopping.
    pub fn serving_since(&self, index: usize) -> Option<MonoTime> {
        let listed = self
            .balancer
            .is_listed(self.instances[index].caller_address());
        listed.then(|| self.started[index])
    }

    /// Starts a graceful stop of the instance `index`; the balancer notices it at its next check.
    pub fn stop_instance(&self, index: usize) {
        let instance = self.instances[index].clone();
        self.store.instance_leaving(&format!("entry-{index}"));
        self.balancer.change(index, |target| target.stopping = true);
        let balancer = self.balancer.clone();
        self.pool.spawn(async move {
            let unlist = async {
                Timer::after(Self::BALANCER_CHECK_INTERVAL).await;
                balancer.change(index, |target| target.listed = false);
                std::future::pending::<()>().await;
            };
            let stop = async {
                instance.stop().await;
            };
            futures_lite::future::or(stop, unlist).await;
        });
    }

    /// Writes the declarations of all services and presets.
    async fn declare_services(&self) -> eyre::Result<()> {
        let declare = |head: &mut ConfigurationHead| {
            for (name, percent) in [
                ("ordinary", None),
                ("peak", Some(100)),
                ("maintenance", Some(67)),
            ] {
                let preset = head.presets.entry(name.into()).or_default();
                preset.slot_percent = percent;
            }
            if head.preset.is_empty() {
                head.preset = "ordinary".into();
            }
            for service in &self.plan.services {
                let prefix = format!("{}-", service.name);
                let own = |server: &&SimulatedServer| server.name().as_str().starts_with(&prefix);
                let mut servers: Vec<_> = self.servers.iter().filter(own).collect();
                servers.sort_by_key(|server| server.name().clone());
                let declaration = service.declaration(&servers);
                head.services
                    .insert(ServiceName::new(service.name), declaration);
            }
        };
        self.operator.change(declare).await
    }

    async fn wait_until_serving(&self) -> eyre::Result<()> {
        let deadline = SteadyClock.now().after(Self::START_TIMEOUT);
        for index in 0..self.instances.len() {
            for service in &self.plan.services {
                let target = format!("/{}/start", service.name);
                while self.get(index, &target).await?.status() != StatusCode::OK {
                    let is_in_time = SteadyClock.now() < deadline;
                    eyre::ensure!(is_in_time, "instance {index} does not serve {target}");
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
        Ok(())
    }

    /// Sends a GET request for `target` to an instance.
    pub async fn get(&self, instance: usize, target: &str) -> eyre::Result<Response<Bytes>> {
        self.send(instance, Method::GET, target, Bytes::new()).await
    }

    /// Sends a request to an instance and returns its answer.
    pub async fn send(
        &self,
        instance: usize,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> eyre::Result<Response<Bytes>> {
        let address = self.instances[instance].caller_address();
        let client = HttpClient::new(self.pool.clone(), TcpDialer::direct(), address);
        let request = Request::builder()
            .method(method)
            .uri(target)
            .header("host", "callers")
            .body(Full::new(body))?;
        Ok(client.exchange(request, Duration::from_secs(5)).await?)
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        for instance in &self.instances {
            instance.kill();
        }
        self.pool.stop();
    }
}
