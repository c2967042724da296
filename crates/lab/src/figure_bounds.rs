//! The bounds that scenarios are held to.

use crate::prelude::*;

/// A bound on one figure of one scenario.
pub(crate) struct FigureBound {
    scenario: &'static str,
    figure: &'static str,
    limit: BoundLimit,
}

#[derive(Clone, Copy)]
enum BoundLimit {
    AtMost(f64),
    AtLeast(f64),
}

impl FigureBound {
    const fn most(scenario: &'static str, figure: &'static str, limit: f64) -> Self {
        let limit = BoundLimit::AtMost(limit);
        Self {
            scenario,
            figure,
            limit,
        }
    }

    const fn least(scenario: &'static str, figure: &'static str, limit: f64) -> Self {
        let limit = BoundLimit::AtLeast(limit);
        Self {
            scenario,
            figure,
            limit,
        }
    }

    /// All bounds; times in milliseconds.
    const ALL: &[Self] = &[
        Self::most("server-loss", "unavailable_ms.p99", 1_000.0),
        Self::most("server-loss", "untouched_keys_troubled", 0.0),
        Self::most("server-loss", "churn", 1.1),
        Self::most("server-freeze", "unavailable_ms.p99", 1_000.0),
        Self::most("unchecked-server", "unavailable_ms.p99", 1_000.0),
        Self::most("instance-loss", "unavailable_ms.p99", 1_000.0),
        Self::most("instance-loss", "churn", 0.0),
        Self::most("instance-pause", "unavailable_ms.p99", 1_000.0),
        Self::most("instance-pause", "churn", 0.0),
        Self::most("store-outage", "unavailable_ms.max", 0.0),
        Self::most("store-outage", "churn", 0.0),
        Self::most("rolling-restart", "unavailable_ms.p99", 1_000.0),
        Self::most("rolling-restart", "churn", 0.0),
        Self::most("rebalance", "churn", 1.1),
        Self::most("drain", "late_work", 0.0),
        Self::most("drain", "churn", 1.1),
        Self::most("steady", "imbalance.viewing", 1.5),
        Self::most("steady", "imbalance.filing", 1.5),
        Self::most("steady", "imbalance.archives", 1.25),
        Self::most("steady", "added_latency_ms.p50", 0.5),
        Self::most("steady", "added_latency_ms.p99", 3.0),
        Self::most("hot-key", "imbalance.viewing", 1.5),
        Self::most("hot-key", "imbalance.archives", 1.25),
        Self::most("hot-key-move", "imbalance.viewing", 1.5),
        Self::most("hot-key-move", "imbalance.archives", 1.25),
        Self::least("overload", "goodput_150_over_100", 0.95),
        Self::most("overload", "top_p99_150_over_70", 2.0),
        Self::least("one-greedy-caller", "modest_in_time", 0.95),
        Self::least("silent-connection", "repeatable_answered", 1.0),
        Self::most("preset-race", "in_force_ms.p99", 2_000.0),
        Self::most("config-storm", "in_force_ms.p99", 2_000.0),
        Self::most("watcher-loss", "in_force_ms.p99", 5_000.0),
    ];

    /// What `figures` miss, one line each.
    pub(crate) fn missed(figures: &MeasuredFigures) -> Vec<String> {
        let zeros = figures.zeros().into_iter();
        let mut missed: Vec<_> = zeros
            .filter(|(_, value)| *value != 0)
            .map(|(name, value)| format!("{name} is {value}, must be 0"))
            .collect();
        for bound in Self::ALL
            .iter()
            .filter(|bound| bound.scenario == figures.scenario)
        {
            let name = bound.figure;
            let value = figures.value(name);
            match (value, bound.limit) {
                (None, _) => missed.push(format!("{name} was not measured")),
                (Some(value), BoundLimit::AtMost(limit)) if value > limit => {
                    missed.push(format!("{name} is {value:.3}, at most {limit} allowed"));
                }
                (Some(value), BoundLimit::AtLeast(limit)) if value < limit => {
                    missed.push(format!("{name} is {value:.3}, at least {limit} required"));
                }
                _ => {}
            }
        }
        missed
    }
}
