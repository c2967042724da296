//! Definition of a scenario: a cluster, a load and timed events.

use crate::prelude::*;

/// Scenario with its cluster, load and events.
#[derive(Clone, Debug)]
pub(crate) struct ScenarioPlan {
    pub(crate) name: String,
    pub(crate) cluster: ClusterPlan,
    pub(crate) load: LoadProfile,
    pub(crate) events: Vec<(Duration, FaultEvent)>,
    /// Whether callers send directly to servers, selected by the key's hash.
    pub(crate) is_baseline: bool,
}

impl ScenarioPlan {
    /// Time after the start of the load from which figures are taken.
    pub(crate) const SETTLING_TIME: Duration = Duration::from_secs(2);
    /// Longest time span whose requests are compared with requests sent directly.
    pub(crate) const COMPARED_TIME: Duration = Duration::from_secs(2);
    /// Default load, in percent of all slots.
    const DEFAULT_LOAD_PERCENT: f64 = 40.0;

    /// Creates a scenario of a few seconds without events.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            cluster: ClusterPlan {
                instances: 5,
                services: ClusterService::cascadia(),
                ..ClusterPlan::default()
            },
            load: LoadProfile {
                phases: vec![(Duration::ZERO, Self::DEFAULT_LOAD_PERCENT)],
                length: Duration::from_secs(7),
                hot_share: 0.0,
                hot_moves_at: None,
                greedy_weight: 0.0,
            },
            events: Vec::new(),
            is_baseline: false,
        }
    }

    /// Adds an event at a time after the start of the load.
    pub(crate) fn at(mut self, at_ms: u64, event: FaultEvent) -> Self {
        self.events.push((Duration::from_millis(at_ms), event));
        self
    }

    /// Sets the load from `at_ms` on, in percent of all slots.
    pub(crate) fn load(mut self, at_ms: u64, percent: f64) -> Self {
        let at = Duration::from_millis(at_ms);
        self.load.phases.retain(|(from, _)| *from != at);
        self.load.phases.push((at, percent));
        self
    }

    /// Sets the duration of the load.
    pub(crate) fn lasting(mut self, length_ms: u64) -> Self {
        self.load.length = Duration::from_millis(length_ms);
        self
    }

    /// Directs a tenth of the lookups to one key.
    pub(crate) fn hot_key(mut self) -> Self {
        self.load.hot_share = 0.1;
        self
    }

    /// Makes another key the hot one from `at_ms` on.
    pub(crate) fn hot_key_moves(mut self, at_ms: u64) -> Self {
        self.load.hot_moves_at = Some(Duration::from_millis(at_ms));
        self
    }

    /// Adds a caller that sends ten times as many requests as all others together.
    pub(crate) fn greedy(mut self) -> Self {
        self.load.greedy_weight = 200.0;
        self
    }

    /// Makes instances connect through proxied links.
    pub(crate) fn with_links(mut self) -> Self {
        self.cluster.links = true;
        self
    }

    /// Converts the scenario to its baseline: the same load, sent directly to servers.
    pub(crate) fn baseline(mut self) -> Self {
        self.name = format!("baseline-{}", self.name);
        self.cluster.instances = 1;
        self.is_baseline = true;
        self
    }

    /// Whether the scenario changes the configuration.
    pub(crate) fn changes_configuration(&self) -> bool {
        let is_change = |event: &FaultEvent| {
            matches!(
                event,
                FaultEvent::SwitchPreset(_) | FaultEvent::RacePresets(_)
            )
        };
        self.events.iter().any(|(_, event)| is_change(event))
    }

    /// Time from which moves of slices count as churn: the first event or, without events, the
    /// settling time.
    pub(crate) fn churn_start(&self) -> Duration {
        self.events
            .first()
            .map_or(Self::SETTLING_TIME, |(at, _)| *at)
    }

    /// Time span whose requests are compared with the same requests sent directly to servers.
    ///
    /// The span ends with the first event. Without events it is the last part of the load, because
    /// the initial assignment does not know the load and has to be rebalanced first.
    pub(crate) fn compared_span(&self) -> (Duration, Duration) {
        match self.events.first() {
            Some((at, _)) => (
                Self::SETTLING_TIME,
                (*at).min(Self::SETTLING_TIME + Self::COMPARED_TIME),
            ),
            None => (
                self.load.length.saturating_sub(Self::COMPARED_TIME),
                self.load.length,
            ),
        }
    }
}
