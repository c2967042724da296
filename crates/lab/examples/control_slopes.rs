//! Cost of the control plane as the number of instances grows, for docs/CAPACITY.md.
//!
//! Usage: `control_slopes [SECONDS]`. Prints one JSON line per number of instances: store calls by
//! kind, bytes of the change feed, processor time and memory of the whole process, and the time
//! from a change's acceptance until it is in force on all instances.

use {
    async_io::Timer,
    eyre::{ContextCompat, Result},
    futures_lite::future::block_on,
    geraniummast_configuration::{ConfigurationHead, PresetDeclaration},
    geraniummast_daemon::{DaemonSettings, InstanceHandle},
    geraniummast_lab::SimulatedStore,
    geraniummast_model::ObjectPath,
    geraniummast_net::{HttpClient, SteadyClock, TcpDialer, WorkerPool},
    geraniummast_store::{StoreClient, WriteCondition},
    http::Request,
    http_body_util::Full,
    indexmap::IndexMap,
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
};

/// Numbers of instances that are measured.
const INSTANCES: [usize; 5] = [4, 8, 16, 32, 64];
/// Number of configuration changes per measurement.
const CHANGES: u64 = 20;
const DEFAULT_SECONDS: u64 = 10;
/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4_096.0;

/// Instances without servers, with their store.
struct InstanceFleet {
    pool: Arc<WorkerPool>,
    store: SimulatedStore,
    client: StoreClient,
    instances: Vec<InstanceHandle>,
}

/// Totals over all instances, and resources of the process, at one time.
struct ResourceReading {
    calls: IndexMap<String, u64>,
    feed_bytes: f64,
    processor_seconds: f64,
    memory_bytes: f64,
}

fn main() -> Result<()> {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let span = Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS));
    for count in INSTANCES {
        println!("{}", block_on(measure(count, span))?);
    }
    Ok(())
}

async fn measure(count: usize, span: Duration) -> Result<Value> {
    let before_start = process_usage()?;
    let fleet = InstanceFleet::start(count).await?;
    Timer::after(Duration::from_secs(3)).await;
    let before = fleet.read().await?;
    Timer::after(span).await;
    let after = fleet.read().await?;
    let per_second = |value: f64| (value / span.as_secs_f64() * 1_000.0).round() / 1_000.0;
    let calls = after.calls.iter().map(|(kind, calls)| {
        let earlier = before.calls.get(kind).copied().unwrap_or(0);
        (kind.clone(), per_second((calls - earlier) as f64))
    });
    let calls: IndexMap<_, _> = calls.collect();
    let instances = count as f64;
    let mut in_force_ms = Vec::new();
    for revision in 2..2 + CHANGES {
        in_force_ms.push(fleet.change(revision).await?);
    }
    let changed = fleet.read().await?;
    in_force_ms.sort_unstable();
    let changed_bytes = changed.feed_bytes - after.feed_bytes;
    Ok(json!({
        "instances": count,
        "store_calls_per_s": calls,
        "feed_bytes_per_instance_s": per_second((after.feed_bytes - before.feed_bytes) / instances),
        "processor_ms_per_instance_s":
            per_second((after.processor_seconds - before.processor_seconds) / instances * 1_000.0),
        "memory_kb_per_instance": ((after.memory_bytes - before_start.1) / instances / 1_024.0).round(),
        "feed_bytes_per_instance_change": (changed_bytes / instances / CHANGES as f64).round(),
        "in_force_ms": {
            "p50": in_force_ms[in_force_ms.len() / 2],
            "max": in_force_ms.last(),
        },
    }))
}

impl InstanceFleet {
    async fn start(count: usize) -> Result<Self> {
        let pool = WorkerPool::start("slopes", 1)?;
        let store = SimulatedStore::start().await?;
        let client = StoreClient::new(pool.clone(), TcpDialer::direct(), store.address());
        let mut fleet = Self {
            pool,
            store,
            client,
            instances: Vec::new(),
        };
        fleet.write(1, WriteCondition::Absent).await?;
        for number in 0..count {
            let settings = DaemonSettings::builder(&format!("i{number}"))
                .store_address(fleet.store.address())
                .peer_secret("slopes")
                .workers(1)
                .build();
            let instance = InstanceHandle::start(settings, TcpDialer::direct()).await?;
            fleet.instances.push(instance);
        }
        fleet.wait_until_in_force(1).await;
        Ok(fleet)
    }

    async fn write(&self, revision: u64, condition: WriteCondition) -> Result<()> {
        let write_id = revision.to_string();
        let head = ConfigurationHead {
            revision,
            preset: "ordinary".into(),
            presets: IndexMap::from([("ordinary".into(), PresetDeclaration::default())]),
            write_id: write_id.clone(),
            ..ConfigurationHead::default()
        };
        let path = ObjectPath::configuration_head();
        self.client
            .write(&path, condition, &head, &write_id)
            .await?;
        Ok(())
    }

    /// Writes a revision; returns the time in milliseconds until it is in force on all instances.
    async fn change(&self, revision: u64) -> Result<u64> {
        let found = self.client.read(&ObjectPath::configuration_head()).await?;
        let condition =
            WriteCondition::Version(found.context("no configuration in the store")?.version);
        self.write(revision, condition).await?;
        let accepted = SteadyClock.now();
        self.wait_until_in_force(revision).await;
        Ok(SteadyClock.now().since(accepted).as_millis() as u64)
    }

    async fn wait_until_in_force(&self, revision: u64) {
        let behind = |instance: &InstanceHandle| instance.revision() < revision;
        while self.instances.iter().any(behind) {
            Timer::after(Duration::from_millis(1)).await;
        }
    }

    async fn read(&self) -> Result<ResourceReading> {
        let mut feed_bytes = 0.0;
        for instance in &self.instances {
            let address = instance.operator_address();
            let client = HttpClient::new(self.pool.clone(), TcpDialer::direct(), address);
            let request = Request::get("/dump").header("host", "slopes");
            let request = request.body(Full::default())?;
            let response = client.exchange(request, Duration::from_secs(5)).await?;
            let dump: Value = serde_json::from_slice(response.body())?;
            for direction in ["bytes_in", "bytes_out"] {
                feed_bytes += dump["feed"][direction].as_f64().unwrap_or(0.0);
            }
        }
        let (processor_seconds, memory_bytes) = process_usage()?;
        Ok(ResourceReading {
            calls: self.store.calls(),
            feed_bytes,
            processor_seconds,
            memory_bytes,
        })
    }
}

impl Drop for InstanceFleet {
    fn drop(&mut self) {
        self.instances.iter().for_each(InstanceHandle::kill);
        self.pool.stop();
    }
}

/// Processor time in seconds and memory in bytes that this process uses.
fn process_usage() -> Result<(f64, f64)> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = stat.rsplit_once(')').context("malformed /proc/self/stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = statm
        .split_whitespace()
        .nth(1)
        .context("malformed /proc/self/statm")?
        .parse()?;
    Ok((ticks / TICKS_PER_SECOND, pages * PAGE_BYTES))
}
