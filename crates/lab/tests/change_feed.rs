//! Distribution of configuration changes to all instances, over real sockets.

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

/// Time limit for an expected outcome.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);

/// Instances without servers, with their store.
struct InstanceFleet {
    pool: Arc<WorkerPool>,
    store: SimulatedStore,
    client: StoreClient,
    instances: Vec<InstanceHandle>,
}

impl Drop for InstanceFleet {
    fn drop(&mut self) {
        self.instances.iter().for_each(InstanceHandle::kill);
        self.pool.stop();
    }
}

impl InstanceFleet {
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
                .wait_until(async || fleet.revision(number).await == Some(1))
                .await;
            fleet
                .wait_until(async || fleet.peers(number).await.len() == count - 1)
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

    /// Writes `revision` over the current configuration.
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

    async fn wait_until(&self, condition: impl AsyncFn() -> bool) {
        let deadline = SteadyClock.now().after(OUTCOME_TIMEOUT);
        while !condition().await {
            assert!(
                SteadyClock.now() < deadline,
                "the expected outcome did not occur in time"
            );
            Timer::after(Duration::from_millis(20)).await;
        }
    }
}

#[test]
fn change_is_in_force_everywhere_while_few_instances_watch_the_store() {
    block_on(async {
        let fleet = InstanceFleet::start(12).await;
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
            .wait_until(async || matches!(watching().await.len(), 1..=3))
            .await;
        fleet.change(2).await;
        for number in 0..12 {
            fleet
                .wait_until(async || fleet.revision(number).await == Some(2))
                .await;
        }
    });
}

#[test]
fn change_is_in_force_when_watchers_are_lost_at_the_same_time() {
    block_on(async {
        let fleet = InstanceFleet::start(8).await;
        let mut by_watches = Vec::new();
        for number in 0..8 {
            by_watches.push((fleet.watches(number).await, number));
        }
        by_watches.sort_unstable();
        let (_, first) = by_watches[7];
        let (_, second) = by_watches[6];
        fleet.instances[first].kill();
        fleet.instances[second].pause();
        fleet.change(2).await;
        for (_, number) in &by_watches[..6] {
            fleet
                .wait_until(async || fleet.revision(*number).await == Some(2))
                .await;
        }
        fleet.instances[second].resume();
        fleet
            .wait_until(async || fleet.revision(second).await == Some(2))
            .await;
    });
}

#[test]
fn isolated_instance_refuses_requests_until_the_store_returns() {
    block_on(async {
        let fleet = InstanceFleet::start(1).await;
        let is_ready = async || {
            let address = fleet.instances[0].operator_address();
            fleet.get(address, "/readyz").await.unwrap().status() == 200
        };
        fleet.wait_until(is_ready).await;
        fleet.store.set_fault(StoreFault::Down);
        fleet.wait_until(async || !is_ready().await).await;
        let callers = fleet.instances[0].caller_address();
        let refusal = fleet.get(callers, "/reports/weld-7").await.unwrap();
        assert_eq!(refusal.headers()["geraniummast-reason"], "not-configured");
        assert_eq!(refusal.headers()["geraniummast-ran"], "no");
        assert_eq!(refusal.headers()["retry-after"], "1");
        fleet.store.set_fault(StoreFault::None);
        fleet.wait_until(is_ready).await;
    });
}

#[test]
fn new_instance_loads_the_latest_revision_from_peers_while_the_store_is_down() {
    block_on(async {
        let mut fleet = InstanceFleet::start(3).await;
        fleet.change(2).await;
        for number in 0..3 {
            fleet
                .wait_until(async || fleet.revision(number).await == Some(2))
                .await;
        }
        let peers = fleet.peers(0).await;
        let address = |peer: &Value| peer["address"].as_str().unwrap().parse().unwrap();
        let seeds: Vec<SocketAddr> = peers.iter().map(address).collect();
        fleet.store.set_fault(StoreFault::Down);
        let without_seeds = fleet.settings(3);
        let with_seeds = fleet.builder(4).seed_peers(&seeds).build();
        for settings in [without_seeds, with_seeds] {
            let instance = InstanceHandle::start(settings, TcpDialer::direct()).await;
            fleet.instances.push(instance.unwrap());
        }
        fleet
            .wait_until(async || fleet.instances[4].is_ready())
            .await;
        assert_eq!(fleet.revision(4).await, Some(2));
        assert!(!fleet.instances[3].is_ready());
        fleet.store.set_fault(StoreFault::None);
        fleet
            .wait_until(async || fleet.instances[3].is_ready())
            .await;
        assert_eq!(fleet.revision(3).await, Some(2));
    });
}
