//! A scenario: a bench, a load and a short list of timed events.

use crate::prelude::*;

/// One scenario.
#[derive(Clone, Debug)]
pub(crate) struct ScenarioPlan {
    pub(crate) name: String,
    pub(crate) bench: ClusterPlan,
    pub(crate) load: LoadShape,
    pub(crate) events: Vec<(Duration, FaultEvent)>,
    /// Whether callers go straight to servers chosen naively.
    pub(crate) naive: bool,
}

impl ScenarioPlan {
    /// Time from the start of the load from which on figures are taken.
    pub(crate) const SETTLE: Duration = Duration::from_secs(2);
    /// Longest span of requests that are compared with straight ones.
    pub(crate) const COMPARED: Duration = Duration::from_secs(2);
    /// Load, in percent of all slots, unless a scenario says otherwise.
    const PERCENT: f64 = 40.0;

    /// Scenario of a few seconds without events.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            bench: ClusterPlan {
                instances: 5,
                services: BenchService::cascadia(),
                ..ClusterPlan::default()
            },
            load: LoadShape {
                percent: vec![(Duration::ZERO, Self::PERCENT)],
                length: Duration::from_secs(7),
                hot_share: 0.0,
                hot_moves_at: None,
                greed: 0.0,
            },
            events: Vec::new(),
            naive: false,
        }
    }

    /// Adds an event.
    pub(crate) fn at(mut self, at_ms: u64, event: FaultEvent) -> Self {
        self.events.push((Duration::from_millis(at_ms), event));
        self
    }

    /// Sets the load from a time on, in percent of all slots.
    pub(crate) fn load(mut self, at_ms: u64, percent: f64) -> Self {
        let at = Duration::from_millis(at_ms);
        self.load.percent.retain(|(from, _)| *from != at);
        self.load.percent.push((at, percent));
        self
    }

    /// Sets the length of the load.
    pub(crate) fn lasting(mut self, length_ms: u64) -> Self {
        self.load.length = Duration::from_millis(length_ms);
        self
    }

    /// Gives a tenth of the lookups to one key.
    pub(crate) fn hot_key(mut self) -> Self {
        self.load.hot_share = 0.1;
        self
    }

    /// Lets another key be the hot one from a time on.
    pub(crate) fn hot_key_moves(mut self, at_ms: u64) -> Self {
        self.load.hot_moves_at = Some(Duration::from_millis(at_ms));
        self
    }

    /// Lets one caller ask ten times as much as all others.
    pub(crate) fn greedy(mut self) -> Self {
        self.load.greed = 200.0;
        self
    }

    /// Lets instances dial through links.
    pub(crate) fn linked(mut self) -> Self {
        self.bench.links = true;
        self
    }

    /// The same load without instances, sent naively.
    pub(crate) fn baseline(mut self) -> Self {
        self.name = format!("baseline-{}", self.name);
        self.bench.instances = 1;
        self.naive = true;
        self
    }

    /// Whether figures of the scenario concern changes of configuration.
    pub(crate) fn changes_configuration(&self) -> bool {
        let change = |event: &FaultEvent| {
            matches!(event, FaultEvent::UsePreset(_) | FaultEvent::RacePresets(_))
        };
        self.events.iter().any(|(_, event)| change(event))
    }

    /// Time from which moves of slices count as churn: the first event, or the end of the settling.
    pub(crate) fn churn_start(&self) -> Duration {
        self.events.first().map_or(Self::SETTLE, |(at, _)| *at)
    }

    /// Time span, from the start of the load, whose requests are compared with straight ones.
    ///
    /// It ends with the first event; without events it is the end of the load, when the first
    /// assignment, which knows no load, has been levelled.
    pub(crate) fn compared_span(&self) -> (Duration, Duration) {
        match self.events.first() {
            Some((at, _)) => (Self::SETTLE, (*at).min(Self::SETTLE + Self::COMPARED)),
            None => (
                self.load.length.saturating_sub(Self::COMPARED),
                self.load.length,
            ),
        }
    }
}
