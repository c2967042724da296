//! Twins of a bench's servers that take requests without instances and grants.

use crate::prelude::*;

/// Servers of a reference, with a ledger of their own.
pub(crate) struct StraightServers {
    pub(crate) servers: Vec<ServerStandin>,
    pub(crate) ledger: Arc<TruthLedger>,
}

impl StraightServers {
    /// Starts a twin of each server.
    pub(crate) async fn start(services: &[BenchService]) -> eyre::Result<Self> {
        let ledger = Arc::new(TruthLedger::default());
        let mut servers = Vec::new();
        for service in services {
            for index in 0..service.servers {
                let behaviour = ServerBehaviour {
                    needs_grant: false,
                    exclusive: false,
                    ..service.behaviour.clone()
                };
                let name = service.server_name(index);
                servers.push(ServerStandin::start(&name, behaviour, ledger.clone()).await?);
            }
        }
        Ok(Self { servers, ledger })
    }

    /// Sender to these servers.
    pub(crate) fn sender(&self, choice: StraightChoice) -> StraightSender {
        let mut addresses: IndexMap<String, Vec<SocketAddr>> = IndexMap::new();
        for server in &self.servers {
            let name = server.name().as_str();
            let service = name.rsplit_once('-').map_or(name, |(service, _)| service);
            let servers = addresses.entry(service.into()).or_default();
            servers.push(server.address());
        }
        StraightSender::new(addresses, choice)
    }

    /// Sends the compared requests again, straight to the twins of the keys' owners.
    pub(crate) async fn measure(
        &self,
        plan: &ScenarioPlan,
        pool: &Arc<WorkerPool>,
        calls: Vec<ScheduledCall>,
        bench: &TestCluster,
    ) -> Vec<CallerRecord> {
        let (from, until) = plan.compared_span();
        let span = |call: &ScheduledCall| (from..until).contains(&call.at);
        let calls: Vec<_> = calls.into_iter().filter(span).collect();
        let expected = calls.len();
        let records = bench.store.parts().into_values().collect();
        let sender = self.sender(StraightChoice::Owners(records));
        let load = CallerLoad::new(pool.clone(), CallerPath::Straight(sender));
        load.run(calls, SteadyClock.now().before(from)).await;
        let latest = SteadyClock.now().after(Duration::from_secs(2));
        while load.records().len() < expected && SteadyClock.now() < latest {
            Timer::after(Duration::from_millis(20)).await;
        }
        load.records()
    }
}
