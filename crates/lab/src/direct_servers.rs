//! Reference copies of a cluster's servers, which need no grants and are called directly.

use crate::prelude::*;

/// Reference servers with a ledger of their own.
pub(crate) struct DirectServers {
    pub(crate) servers: Vec<SimulatedServer>,
    pub(crate) ledger: Arc<GroundTruthLedger>,
}

impl DirectServers {
    /// Starts a reference copy of each server of `services`.
    pub(crate) async fn start(services: &[ClusterService]) -> eyre::Result<Self> {
        let ledger = Arc::new(GroundTruthLedger::default());
        let mut servers = Vec::new();
        for service in services {
            for index in 0..service.servers {
                let behaviour = ServerBehaviour {
                    requires_grant: false,
                    exclusive: false,
                    ..service.behaviour.clone()
                };
                let name = service.server_name(index);
                servers.push(SimulatedServer::start(&name, behaviour, ledger.clone()).await?);
            }
        }
        Ok(Self { servers, ledger })
    }

    /// Creates a sender to these servers.
    pub(crate) fn sender(&self, selection: ServerSelection) -> DirectSender {
        let mut addresses: IndexMap<String, Vec<SocketAddr>> = IndexMap::new();
        for server in &self.servers {
            let name = server.name().as_str();
            let service = name.rsplit_once('-').map_or(name, |(service, _)| service);
            let servers = addresses.entry(service.into()).or_default();
            servers.push(server.address());
        }
        DirectSender::new(addresses, selection)
    }

    /// Sends the compared requests again, directly to the copies of their keys' owners.
    pub(crate) async fn measure(
        &self,
        plan: &ScenarioPlan,
        pool: &Arc<WorkerPool>,
        calls: Vec<ScheduledCall>,
        cluster: &TestCluster,
    ) -> Vec<CallerRecord> {
        let (from, until) = plan.compared_span();
        let is_compared = |call: &ScheduledCall| (from..until).contains(&call.at);
        let calls: Vec<_> = calls.into_iter().filter(is_compared).collect();
        let expected = calls.len();
        let records = cluster.store.parts().into_values().collect();
        let sender = self.sender(ServerSelection::ByOwner(records));
        let load = CallerLoad::new(pool.clone(), CallerPath::Direct(sender));
        load.run(calls, SteadyClock.now().before(from)).await;
        let deadline = SteadyClock.now().after(Duration::from_secs(2));
        while load.records().len() < expected && SteadyClock.now() < deadline {
            Timer::after(Duration::from_millis(20)).await;
        }
        load.records()
    }
}
