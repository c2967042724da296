//! Store calls, network bytes and processor time that the instances of a cluster use.

use crate::prelude::*;

/// Resource counters at one time, or their increase over a time span.
pub(crate) struct ResourceUsage {
    span: Duration,
    at: MonoTime,
    calls: IndexMap<String, u64>,
    bytes: u64,
    processor: Duration,
}

impl ResourceUsage {
    /// Unit of the processor times in `/proc`.
    const TICK: Duration = Duration::from_millis(10);

    /// Reads the current counters of a cluster.
    pub(crate) fn of(cluster: &TestCluster) -> Self {
        Self {
            span: Duration::ZERO,
            at: SteadyClock.now(),
            calls: cluster.store.calls(),
            bytes: cluster.links.iter().map(|links| links.bytes()).sum(),
            processor: Self::instances_processor_time(),
        }
    }

    /// Increase of the counters since an earlier reading.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let increase = |(kind, count): (&String, &u64)| {
            let before = earlier.calls.get(kind).copied().unwrap_or(0);
            (kind.clone(), count - before)
        };
        Self {
            span: self.at.since(earlier.at),
            at: self.at,
            calls: self.calls.iter().map(increase).collect(),
            bytes: self.bytes - earlier.bytes,
            processor: self.processor.saturating_sub(earlier.processor),
        }
    }

    /// Store calls per second, by kind of call.
    pub(crate) fn store_calls_per_s(&self) -> IndexMap<String, f64> {
        let rate = |count: &u64| (self.per_s(*count as f64) * 100.0).round() / 100.0;
        let calls = self.calls.iter();
        calls
            .map(|(kind, count)| (kind.clone(), rate(count)))
            .collect()
    }

    /// Bytes per second and instance, in both directions.
    pub(crate) fn bytes_per_s(&self, instances: usize) -> f64 {
        self.per_s(self.bytes as f64 / instances as f64).round()
    }

    /// Processor time in milliseconds per second and instance.
    pub(crate) fn processor_ms_per_s(&self, instances: usize) -> f64 {
        let time = self.processor.as_secs_f64() * 1_000.0;
        (self.per_s(time / instances as f64) * 100.0).round() / 100.0
    }

    fn per_s(&self, amount: f64) -> f64 {
        amount / self.span.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Processor time of the threads of all instances; thread names start with the instance's name.
    fn instances_processor_time() -> Duration {
        let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten();
        let stats =
            tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("stat")).ok());
        let ticks = stats.filter_map(|stat| {
            let (name, fields) = stat.split_once('(')?.1.rsplit_once(')')?;
            let fields: Vec<_> = fields.split_whitespace().collect();
            let ticks = |index: usize| fields.get(index)?.parse::<u32>().ok();
            name.starts_with("entry-")
                .then_some(ticks(11)? + ticks(12)?)
        });
        Self::TICK * ticks.sum::<u32>()
    }
}
