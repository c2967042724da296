//! How changes of configuration reach every instance, over real sockets.

use {
    async_io::Timer,
    bytes::Bytes,
    futures_lite::future::block_on,
    geraniummast_configuration::{ConfigurationHead, PresetDeclaration},
    geraniummast_daemon::{DaemonSettings, InstanceHandle},
    geraniummast_lab::{SimulatedStore, StoreFault},
    geraniummast_model::ObjectPath,
    geraniummast_net::{HttpClient, SteadyClock, TcpDialer, WorkerPool},
    geraniummast_store::{StoreClient, WriteCondition, WriteOutcome},
    http::{Request, Response},
    http_body_util::Full,
    indexmap::IndexMap,
    serde_json::Value,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Longest time that any test waits for an outcome.
const PATIENCE: Duration = Duration::from_secs(30);

struct Fleet {
    pool: Arc<WorkerPool>,
    store: SimulatedStore,
    client: StoreClient,
    instances: Vec<InstanceHandle>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.instances.iter().for_each(InstanceHandle::kill);
        self.pool.stop();
    }
}

impl Fleet {
    async fn start(count: usize) -> Self {
        let pool = WorkerPool::start("test", 2).unwrap();
        let store = SimulatedStore::start().await.unwrap();
        let client = StoreClient::new(pool.clone(), TcpDialer::direct(), store.address());
        let mut fleet = Self {
            pool,
            store,
            client,
            instances: Vec::new(),
        };
        fleet.write(1, WriteCondition::Absent).await;
        for number in 0..count {
            let settings = fleet.settings(number);
            let instance = InstanceHandle::start(settings, TcpDialer::direct()).await;
            fleet.instances.push(instance.unwrap());
        }
        for number in 0..count {
            fleet
                .until(async || fleet.revision(number).await == Some(1))
                .await;
            fleet
                .until(async || fleet.peers(number).await.len() == count - 1)
                .await;
        }
        fleet
    }

    fn settings(&self, number: usize) -> DaemonSettings {
        self.builder(number).build()
    }

    fn builder(&self, number: usize) -> geraniummast_daemon::SettingsBuilder {
        DaemonSettings::builder(&format!("i{number}"))
            .store_address(self.store.address())
            .peer_secret("secret")
            .workers(1)
            .cut_off_timeout(Duration::from_secs(3))
    }

    async fn write(&self, revision: u64, condition: WriteCondition) {
        let write_id = format!("write-{revision}");
        let head = ConfigurationHead {
            revision,
            preset: "ordinary".into(),
            presets: IndexMap::from([("ordinary".into(), PresetDeclaration::default())]),
            write_id: write_id.clone(),
            ..ConfigurationHead::default()
        };
        let outcome = self
            .client
            .write(
                &ObjectPath::configuration_head(),
                condition,
                &head,
                &write_id,
            )
            .await;
        assert!(
            matches!(outcome, Ok(WriteOutcome::Written(_))),
            "{outcome:?}"
        );
    }

    /// Accepts the next revision.
    async fn change(&self, revision: u64) {
        let head = self
            .client
            .read(&ObjectPath::configuration_head())
            .await
            .unwrap()
            .unwrap();
        self.write(revision, WriteCondition::Version(head.version))
            .await;
    }

    async fn dump(&self, number: usize) -> Option<Value> {
        let address = self.instances[number].operator_address();
        let response = self.get(address, "/dump").await?;
        serde_json::from_slice(response.body()).ok()
    }

    async fn get(&self, address: SocketAddr, target: &str) -> Option<Response<Bytes>> {
        let client = HttpClient::new(self.pool.clone(), TcpDialer::direct(), address);
        let request = Request::get(target).header("host", "test");
        let request = request.body(Full::default()).unwrap();
        client.exchange(request, Duration::from_secs(5)).await.ok()
    }

    async fn revision(&self, number: usize) -> Option<u64> {
        self.dump(number).await?["revision"].as_u64()
    }

    async fn peers(&self, number: usize) -> Vec<Value> {
        let dump = self.dump(number).await;
        let peers = dump.and_then(|dump| dump["peers"].as_array().cloned());
        peers.unwrap_or_default()
    }

    async fn watches(&self, number: usize) -> u64 {
        let dump = self.dump(number).await.unwrap();
        dump["store"]["calls"]["watch"].as_u64().unwrap()
    }

    async fn until(&self, holds: impl AsyncFn() -> bool) {
        let deadline = SteadyClock.now().after(PATIENCE);
        while !holds().await {
            assert!(SteadyClock.now() < deadline, "no such outcome in time");
            Timer::after(Duration::from_millis(20)).await;
        }
    }
}

#[test]
fn few_instances_watch_the_store_and_a_change_is_in_force_on_all() {
    block_on(async {
        let fleet = Fleet::start(12).await;
        let watching = async || {
            let mut before = Vec::new();
            for number in 0..12 {
                before.push(fleet.watches(number).await);
            }
            Timer::after(Duration::from_millis(1_500)).await;
            let mut growing = Vec::new();
            for (number, before) in before.iter().enumerate() {
                if fleet.watches(number).await > *before {
                    growing.push(number);
                }
            }
            growing
        };
        fleet
            .until(async || matches!(watching().await.len(), 1..=3))
            .await;
        fleet.change(2).await;
        for number in 0..12 {
            fleet
                .until(async || fleet.revision(number).await == Some(2))
                .await;
        }
    });
}

#[test]
fn a_change_is_in_force_when_watchers_are_lost_at_that_moment() {
    block_on(async {
        let fleet = Fleet::start(8).await;
        let mut order = Vec::new();
        for number in 0..8 {
            order.push((fleet.watches(number).await, number));
        }
        order.sort_unstable();
        let (_, first) = order[7];
        let (_, second) = order[6];
        fleet.instances[first].kill();
        fleet.instances[second].pause();
        fleet.change(2).await;
        for (_, number) in &order[..6] {
            fleet
                .until(async || fleet.revision(*number).await == Some(2))
                .await;
        }
        fleet.instances[second].resume();
        fleet
            .until(async || fleet.revision(second).await == Some(2))
            .await;
    });
}

#[test]
fn an_instance_that_hears_neither_store_nor_peers_refuses_until_it_hears_again() {
    block_on(async {
        let fleet = Fleet::start(1).await;
        let ready = async || {
            let address = fleet.instances[0].operator_address();
            fleet.get(address, "/readyz").await.unwrap().status() == 200
        };
        fleet.until(ready).await;
        fleet.store.set_fault(StoreFault::Down);
        fleet.until(async || !ready().await).await;
        let callers = fleet.instances[0].caller_address();
        let refusal = fleet.get(callers, "/reports/weld-7").await.unwrap();
        assert_eq!(refusal.headers()["geraniummast-reason"], "not-configured");
        assert_eq!(refusal.headers()["geraniummast-ran"], "no");
        assert_eq!(refusal.headers()["retry-after"], "1");
        fleet.store.set_fault(StoreFault::None);
        fleet.until(ready).await;
    });
}

#[test]
fn a_fresh_instance_takes_the_latest_that_several_peers_know_while_the_store_is_down() {
    block_on(async {
        let mut fleet = Fleet::start(3).await;
        fleet.change(2).await;
        for number in 0..3 {
            fleet
                .until(async || fleet.revision(number).await == Some(2))
                .await;
        }
        let peers = fleet.peers(0).await;
        let address = |peer: &Value| peer["address"].as_str().unwrap().parse().unwrap();
        let seeds: Vec<SocketAddr> = peers.iter().map(address).collect();
        fleet.store.set_fault(StoreFault::Down);
        let alone = fleet.settings(3);
        let seeded = fleet.builder(4).seed_peers(&seeds).build();
        for settings in [alone, seeded] {
            let instance = InstanceHandle::start(settings, TcpDialer::direct()).await;
            fleet.instances.push(instance.unwrap());
        }
        fleet.until(async || fleet.instances[4].is_ready()).await;
        assert_eq!(fleet.revision(4).await, Some(2));
        assert!(!fleet.instances[3].is_ready());
        fleet.store.set_fault(StoreFault::None);
        fleet.until(async || fleet.instances[3].is_ready()).await;
        assert_eq!(fleet.revision(3).await, Some(2));
    });
}
