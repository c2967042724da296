//! Schedules of changes of the configuration and leaving servers beside faults of one kind.

use crate::{prelude::*, server_cuts::CutMode, server_departures::Departure};

/// Kind of the faults beside which routes change and servers leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewerKind {
    /// Servers name limits on the rate of their requests.
    Limits,
    /// Requests crash each server that begins to execute them, and come again.
    Poison,
    /// Instances are cut off from all servers.
    Cuts,
    /// Servers want no requests for some time, or say in their answers that they leave.
    Notices,
    /// The store falls silent for a moment and comes back from an older copy.
    Restored,
    /// The store falls silent as beside `Restored`, and loses nothing.
    Silences,
}

impl NewerKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Limits,
        Self::Poison,
        Self::Cuts,
        Self::Notices,
        Self::Restored,
        Self::Silences,
    ];

    /// Returns the kind with a name.
    pub(crate) fn with_label(label: &str) -> Result<Self, String> {
        let known = Self::ALL.into_iter().find(|kind| kind.label() == label);
        known.ok_or_else(|| format!("no kind of faults is called {label}"))
    }

    /// Name on the command line.
    fn label(self) -> &'static str {
        match self {
            Self::Limits => "limits",
            Self::Poison => "poison",
            Self::Cuts => "cuts",
            Self::Notices => "notices",
            Self::Restored => "restored",
            Self::Silences => "silences",
        }
    }
}

/// Time between two changes of the configuration, in milliseconds.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 400..3_000;
/// Share of the changes that are two at once.
const DOUBLE_CHANGE_SHARE: f64 = 0.2;
/// Time between the starts of two departures of servers, in milliseconds.
const DEPARTURE_INTERVAL_MS: std::ops::Range<u64> = 1_000..3_000;
/// Share of the departures that affect a probed service.
const PROBED_SHARE: f64 = 0.25;

impl FaultEvent {
    /// Draws changes of the configuration, departures of servers, and faults of the given kind, all
    /// through the run of a plan.
    pub(crate) fn changes_beside(plan: &SoakPlan, kind: NewerKind) -> Vec<(Duration, Self)> {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let mut events = Vec::new();
        for at in times(&mut rng, CHANGE_INTERVAL_MS, plan.fault_duration) {
            events.push((at, Self::Configure));
            if rng.random_bool(DOUBLE_CHANGE_SHARE) {
                events.push((at, Self::Configure));
            }
        }
        for at in times(&mut rng, DEPARTURE_INTERVAL_MS, plan.fault_duration) {
            let number = rng.random_range(0..1_000);
            let departure = Departure::random(&mut rng);
            let event = match rng.random_bool(PROBED_SHARE) {
                true => Self::DepartProbed(number, departure),
                false => Self::Depart(number, departure),
            };
            events.push((at, event));
        }
        events.extend(match kind {
            NewerKind::Limits => limits(&mut rng, plan),
            NewerKind::Poison => poison_requests(&mut rng, plan),
            NewerKind::Cuts => cuts(&mut rng, plan),
            NewerKind::Notices => notices(&mut rng, plan),
            NewerKind::Restored => Self::restores(&mut rng, plan, Self::RESTORE_PAUSE_MS),
            NewerKind::Silences => silences(Self::restores(&mut rng, plan, Self::RESTORE_PAUSE_MS)),
        });
        events.sort_by_key(|(at, _)| *at);
        events
    }
}

impl FaultEvent {
    /// Cuts the first instance off for the whole run, pauses two of the others again and again,
    /// changes the configuration as a pause has begun, and probes the first instance before the pause
    /// ends.
    pub(crate) fn changes_at_paused_helpers(plan: &SoakPlan) -> Vec<(Duration, Self)> {
        /// Time within which the instance notices that it reaches no server.
        const NOTICE_TIME: Duration = Duration::from_secs(3);
        const INTERVAL: Duration = Duration::from_millis(2_500);
        const CHANGE_AFTER: Duration = Duration::from_millis(10);
        /// Times of probes after a change, in milliseconds: later than an instance may go back.
        const PROBES_AFTER_MS: [u64; 5] = [290, 320, 350, 380, 410];
        /// Probes at one time, fewer than a server runs at once.
        const PROBES: usize = 3;
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let cut = Self::ServerCut(0, 1, CutMode::Reset, plan.fault_duration);
        let mut events = vec![(Duration::ZERO, cut)];
        let helpers = plan.instances - 1;
        let mut at = NOTICE_TIME;
        while at + INTERVAL < plan.fault_duration {
            let first = rng.random_range(0..helpers);
            let pause = random_time(&mut rng, 600..1_000);
            events.push((at, Self::Pause(1 + first, pause)));
            events.push((at, Self::Pause(1 + (first + 1) % helpers, pause)));
            let changed = at + CHANGE_AFTER;
            events.push((changed, Self::Configure));
            events.extend(PROBES_AFTER_MS.map(|after| {
                let probed = changed + Duration::from_millis(after);
                (probed, Self::Probes(0, PROBES))
            }));
            at += INTERVAL;
        }
        events
    }
}

/// Draws times with pauses from a range, up to the end of a period.
fn times(rng: &mut StdRng, pause_ms: std::ops::Range<u64>, period: Duration) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(pause_ms.clone()));
        if at >= period {
            return times;
        }
        times.push(at);
    }
}

fn random_time(rng: &mut StdRng, millis: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(millis))
}

/// Limits of several servers at a time.
fn limits(rng: &mut StdRng, plan: &SoakPlan) -> Vec<(Duration, FaultEvent)> {
    let mut events = Vec::new();
    for at in times(rng, 300..1_500, plan.fault_duration) {
        let (number, per_second) = (rng.random_range(0..1_000), rng.random_range(2..8));
        let duration = random_time(rng, 3_000..7_000);
        events.push((at, FaultEvent::Limit(number, per_second, duration)));
    }
    events
}

/// Poison requests, several of which come at a time.
fn poison_requests(rng: &mut StdRng, plan: &SoakPlan) -> Vec<(Duration, FaultEvent)> {
    let kinds = RequestKind::SENT_BY_CALLERS;
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    while at < plan.fault_duration {
        let kind = kinds[rng.random_range(0..kinds.len())];
        let duration = random_time(rng, 4_000..9_000);
        events.push((at, FaultEvent::Poison(events.len(), kind, duration)));
        at += random_time(rng, 1_500..4_000);
    }
    events
}

/// Cuts of two thirds of the instances, each again and again for itself.
fn cuts(rng: &mut StdRng, plan: &SoakPlan) -> Vec<(Duration, FaultEvent)> {
    let count = (plan.instances * 2).div_ceil(3).min(plan.instances - 1);
    let mut events = Vec::new();
    for instance in 0..count {
        let mut at = random_time(rng, 0..2_000);
        while at < plan.fault_duration {
            let duration = random_time(rng, 2_000..8_000);
            let mode = CutMode::ALL[rng.random_range(0..CutMode::ALL.len())];
            events.push((at, FaultEvent::ServerCut(instance, 1, mode, duration)));
            at += duration + random_time(rng, 500..2_000);
        }
    }
    events
}

/// Servers that want no requests and servers that say that they leave, several at a time.
fn notices(rng: &mut StdRng, plan: &SoakPlan) -> Vec<(Duration, FaultEvent)> {
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    while at < plan.fault_duration {
        let number = rng.random_range(0..1_000);
        let event = match rng.random_range(0..3) {
            0 => FaultEvent::Depart(number, Departure::Announced),
            _ => FaultEvent::Rest(number, random_time(rng, 2_000..6_000)),
        };
        events.push((at, event));
        at += random_time(rng, 400..1_600);
    }
    events
}

/// The silences of the store's restores.
fn silences(restores: Vec<(Duration, FaultEvent)>) -> Vec<(Duration, FaultEvent)> {
    let without_restore = |(at, event)| match event {
        FaultEvent::Restore(drill) => drill.silences(at),
        other => vec![(at, other)],
    };
    restores.into_iter().flat_map(without_restore).collect()
}
