//! What callers will ask and when, drawn from a seed before the load starts.

use crate::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// One request to come.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledCall {
    /// Time since the start of the load.
    pub(crate) at: Duration,
    /// Service.
    pub(crate) service: &'static str,
    /// Whether it may be repeated.
    pub(crate) repeatable: bool,
    /// Key.
    pub(crate) key: String,
    /// What the answer must repeat.
    pub(crate) payload: u64,
    /// Name of the caller.
    pub(crate) caller: String,
}

/// Shape of a load.
#[derive(Clone, Debug)]
pub(crate) struct LoadShape {
    /// Percent of all slots from a time on.
    pub(crate) percent: Vec<(Duration, f64)>,
    /// Length of the load.
    pub(crate) length: Duration,
    /// Share of repeatable requests that goes to one key besides its own share.
    pub(crate) hot_share: f64,
    /// Time from which on another key is the hot one.
    pub(crate) hot_moves_at: Option<Duration>,
    /// Factor by which one caller asks more than the others.
    pub(crate) greed: f64,
}

/// Draws of keys by Zipf's law with exponent 1.
struct ZipfKeys(Vec<f64>);

impl ZipfKeys {
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

impl LoadShape {
    /// Number of callers with equal shares.
    const CALLERS: u32 = 20;
    /// Name of the caller that asks more than the others.
    pub(crate) const GREEDY: &'static str = "greedy";

    /// All requests to `services` in the order of their times.
    pub(crate) fn schedule(&self, services: &[BenchService], seed: u64) -> Vec<ScheduledCall> {
        let mut rng = StdRng::seed_from_u64(seed);
        let zipf = ZipfKeys::new();
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
                    key: self.key(service, at, &zipf, &mut rng),
                    payload: rng.random(),
                    caller: self.caller(&mut rng),
                });
            }
        }
        calls.sort_by_key(|call| call.at);
        calls
    }

    fn percent_at(&self, at: Duration) -> f64 {
        let started = self.percent.iter().rev().find(|(from, _)| *from <= at);
        started.map_or(0.0, |(_, percent)| *percent)
    }

    fn key(
        &self,
        service: &BenchService,
        at: Duration,
        zipf: &ZipfKeys,
        rng: &mut StdRng,
    ) -> String {
        let hot = service.repeatable && rng.random::<f64>() < self.hot_share;
        match (hot, self.hot_moves_at) {
            (true, Some(moves_at)) if at >= moves_at => "hot-2".into(),
            (true, _) => "hot-1".into(),
            (false, _) => format!("k{}", zipf.draw(rng)),
        }
    }

    fn caller(&self, rng: &mut StdRng) -> String {
        let shares = f64::from(Self::CALLERS);
        match self.greed > 0.0 && rng.random::<f64>() < self.greed / (self.greed + shares) {
            true => Self::GREEDY.into(),
            false => format!("caller-{}", rng.random_range(0..Self::CALLERS)),
        }
    }
}
