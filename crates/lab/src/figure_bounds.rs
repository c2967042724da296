//! Bounds on the figures of scenarios.

use crate::prelude::*;

/// Bound on one figure of one scenario.
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
    const fn at_most(scenario: &'static str, figure: &'static str, limit: f64) -> Self {
        let limit = BoundLimit::AtMost(limit);
        Self {
            scenario,
            figure,
            limit,
        }
    }

    const fn at_least(scenario: &'static str, figure: &'static str, limit: f64) -> Self {
        let limit = BoundLimit::AtLeast(limit);
        Self {
            scenario,
            figure,
            limit,
        }
    }

    /// All bounds; durations are in milliseconds.
    const ALL: &[Self] = &[
        Self::at_most("server-loss", "unavailable_ms.p99", 1_000.0),
        Self::at_most("server-loss", "untouched_keys_troubled", 0.0),
        Self::at_most("server-loss", "churn", 1.1),
        Self::at_most("server-freeze", "unavailable_ms.p99", 1_000.0),
        Self::at_most("unchecked-server", "unavailable_ms.p99", 1_000.0),
        Self::at_most("instance-loss", "unavailable_ms.p99", 1_000.0),
        Self::at_most("instance-loss", "churn", 0.0),
        Self::at_most("instance-pause", "unavailable_ms.p99", 1_000.0),
        Self::at_most("instance-pause", "churn", 0.0),
        Self::at_most("store-outage", "unavailable_ms.max", 0.0),
        Self::at_most("store-outage", "churn", 0.0),
        Self::at_most("rolling-restart", "unavailable_ms.p99", 1_000.0),
        Self::at_most("rolling-restart", "churn", 0.0),
        Self::at_most("rebalance", "churn", 1.1),
        Self::at_most("drain", "late_work", 0.0),
        Self::at_most("drain", "churn", 1.1),
        Self::at_most("steady", "imbalance.viewing", 1.5),
        Self::at_most("steady", "imbalance.filing", 1.5),
        Self::at_most("steady", "imbalance.archives", 1.25),
        Self::at_most("steady", "added_latency_ms.p50", 0.5),
        Self::at_most("steady", "added_latency_ms.p99", 3.0),
        Self::at_most("hot-key", "imbalance.viewing", 1.5),
        Self::at_most("hot-key", "imbalance.archives", 1.25),
        Self::at_most("hot-key-move", "imbalance.viewing", 1.5),
        Self::at_most("hot-key-move", "imbalance.archives", 1.25),
        Self::at_least("overload", "goodput_150_over_100", 0.95),
        Self::at_most("overload", "top_p99_150_over_70", 2.0),
        Self::at_least("one-greedy-caller", "modest_in_time", 0.95),
        Self::at_least("silent-connection", "repeatable_answered", 1.0),
        Self::at_most("preset-race", "in_force_ms.p99", 2_000.0),
        Self::at_most("config-storm", "in_force_ms.p99", 2_000.0),
        Self::at_most("watcher-loss", "in_force_ms.p99", 5_000.0),
    ];

    /// Describes each bound that `figures` miss in one line, the figures that must be 0 included.
    pub(crate) fn missed(figures: &MeasuredFigures) -> Vec<String> {
        let must_be_zero = figures.must_be_zero().into_iter();
        let mut missed: Vec<_> = must_be_zero
            .filter(|(_, value)| *value != 0)
            .map(|(name, value)| format!("{name} is {value}, must be 0"))
            .collect();
        for bound in Self::ALL
            .iter()
            .filter(|bound| bound.scenario == figures.scenario)
        {
            let name = bound.figure;
            let value = figures.figure(name);
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
