//! Schedule of the callers' requests, drawn from a seed before the load starts.

use crate::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Request that will be sent at a given time.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledCall {
    /// Scheduled time, counted from the start of the load.
    pub(crate) at: Duration,
    /// Service of the request.
    pub(crate) service: &'static str,
    /// Whether the request may be repeated.
    pub(crate) repeatable: bool,
    /// Key of the request.
    pub(crate) key: String,
    /// Payload that the answer must echo.
    pub(crate) payload: u64,
    /// Name of the caller that sends the request.
    pub(crate) caller: String,
}

/// Rate, length and key distribution of a load.
#[derive(Clone, Debug)]
pub(crate) struct LoadProfile {
    /// Start times of the phases of the load, with the rate as a percentage of all slots.
    pub(crate) phases: Vec<(Duration, f64)>,
    /// Length of the load.
    pub(crate) length: Duration,
    /// Share of the repeatable requests that goes to the hot key.
    pub(crate) hot_share: f64,
    /// Time from which another key is the hot one; `None` if it stays the same.
    pub(crate) hot_moves_at: Option<Duration>,
    /// Request rate of the greedy caller relative to that of each other one; 0 for none.
    pub(crate) greedy_weight: f64,
}

/// Cumulative weights of keys that follow a Zipf distribution with exponent 1.
struct ZipfDistribution(Vec<f64>);

impl ZipfDistribution {
    const KEYS: usize = 2_000;

    fn new() -> Self {
        let mut sum = 0.0;
        let weights = (1..=Self::KEYS).map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        });
        Self(weights.collect())
    }

    fn draw(&self, rng: &mut StdRng) -> usize {
        let point = rng.random::<f64>() * self.0[Self::KEYS - 1];
        self.0.partition_point(|sum| *sum < point)
    }
}

impl LoadProfile {
    /// Number of callers with equal request rates.
    const CALLERS: u32 = 20;
    /// Name of the greedy caller.
    pub(crate) const GREEDY: &'static str = "greedy";

    /// Draws all requests to `services`, in the order of their scheduled times.
    pub(crate) fn schedule(&self, services: &[ClusterService], seed: u64) -> Vec<ScheduledCall> {
        let mut rng = StdRng::seed_from_u64(seed);
        let zipf = ZipfDistribution::new();
        let mut calls = Vec::new();
        for service in services {
            let mut at = Duration::ZERO;
            loop {
                let rate = service.capacity_per_s() * self.percent_at(at) / 100.0;
                let gap = -(1.0 - rng.random::<f64>()).ln() / rate.max(0.001);
                at += Duration::from_secs_f64(gap);
                if at >= self.length {
                    break;
                }
                calls.push(ScheduledCall {
                    at,
                    service: service.name,
                    repeatable: service.repeatable,
                    key: self.draw_key(service, at, &zipf, &mut rng),
                    payload: rng.random(),
                    caller: self.draw_caller(&mut rng),
                });
            }
        }
        calls.sort_by_key(|call| call.at);
        calls
    }

    fn percent_at(&self, at: Duration) -> f64 {
        let phase = self.phases.iter().rev().find(|(from, _)| *from <= at);
        phase.map_or(0.0, |(_, percent)| *percent)
    }

    fn draw_key(
        &self,
        service: &ClusterService,
        at: Duration,
        zipf: &ZipfDistribution,
        rng: &mut StdRng,
    ) -> String {
        let is_hot = service.repeatable && rng.random::<f64>() < self.hot_share;
        match (is_hot, self.hot_moves_at) {
            (true, Some(moves_at)) if at >= moves_at => "hot-2".into(),
            (true, _) => "hot-1".into(),
            (false, _) => format!("k{}", zipf.draw(rng)),
        }
    }

    fn draw_caller(&self, rng: &mut StdRng) -> String {
        let callers = f64::from(Self::CALLERS);
        match self.greedy_weight > 0.0
            && rng.random::<f64>() < self.greedy_weight / (self.greedy_weight + callers)
        {
            true => Self::GREEDY.into(),
            false => format!("caller-{}", rng.random_range(0..Self::CALLERS)),
        }
    }
}
