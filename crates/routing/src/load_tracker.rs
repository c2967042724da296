//! What one instance knows of a server's load.
//!
//! The server's own report counts the requests of all instances but ages; this instance's requests
//! are counted exactly. The estimate adds the requests of others to its own: those of the last
//! report, and the older that is, the more what servers of the service usually have.

use crate::prelude::*;

/// Load of one server.
#[derive(Clone, Debug)]
pub struct LoadTracker {
    slots: u32,
    own: u32,
    foreign: f64,
    reported_at: MonoTime,
    /// Time that a request runs there, in seconds.
    service_time: f64,
    samples: u32,
    failures: u32,
    /// When a server that failed may be tried again.
    rest_until: MonoTime,
    probing: bool,
    /// Since when requests of this instance are there and none has been answered.
    unheard_since: Option<MonoTime>,
}

/// A server's own report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

impl LoadTracker {
    /// Weight of a new sample of the service time.
    const SAMPLE_WEIGHT: f64 = 0.15;
    /// Time in which a report loses half of its weight.
    const REPORT_HALF_LIFE: f64 = 0.5;
    /// Silence, as a multiple of the service time, after which a server is taken for lost.
    const SILENT_FACTOR: f64 = 6.0;
    /// Least silence after which a server is taken for lost.
    const LEAST_PATIENCE: Duration = Duration::from_millis(500);
    /// Failures in a row after which a server rests.
    const MAX_FAILURES: u32 = 3;
    /// Rest after failures; doubled by each further one.
    const REST: Duration = Duration::from_millis(400);
    /// Longest rest.
    const MAX_REST: Duration = Duration::from_secs(3);

    /// Tracker of a server with `slots` whose service time is guessed, in seconds.
    pub fn new(slots: u32, service_time: f64) -> Self {
        Self {
            slots: slots.max(1),
            own: 0,
            foreign: 0.0,
            reported_at: MonoTime::default(),
            service_time,
            samples: 0,
            failures: 0,
            rest_until: MonoTime::default(),
            probing: false,
            unheard_since: None,
        }
    }

    /// Counts a request in.
    pub fn request_started(&mut self, now: MonoTime) {
        self.own += 1;
        self.unheard_since.get_or_insert(now);
        self.probing = self.failures >= Self::MAX_FAILURES && now >= self.rest_until;
    }

    /// Counts a request out.
    pub fn request_ended(&mut self) {
        self.own = self.own.saturating_sub(1);
        if self.own == 0 {
            self.unheard_since = None;
        }
        self.probing = false;
    }

    /// Takes the server's report in, made when a request of this instance ended there.
    pub fn apply_report(&mut self, load: ReportedLoad, now: MonoTime) {
        self.slots = load.slots.max(1);
        self.foreign = f64::from((load.running + load.waiting).saturating_sub(self.own));
        self.reported_at = now;
    }

    /// Takes in how long a request took that found a free slot.
    pub fn record_success(&mut self, took: Duration, waited_there: bool) {
        self.failures = 0;
        if waited_there {
            return;
        }
        let took = took.as_secs_f64();
        self.samples += 1;
        let weight = Self::SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.service_time += (took - self.service_time) * weight;
    }

    /// Notes an answer of the server, whatever it says.
    pub fn record_answer(&mut self, now: MonoTime) {
        self.unheard_since = Some(now);
    }

    /// Whether requests are there and none has been answered for much longer than one takes.
    pub fn is_silent(&self, now: MonoTime) -> bool {
        let patience = self.silence_timeout();
        self.own > 0
            && self
                .unheard_since
                .is_some_and(|since| now.since(since) > patience)
    }

    /// Silence after which the server is taken for lost.
    pub fn silence_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.service_time * Self::SILENT_FACTOR).max(Self::LEAST_PATIENCE)
    }

    /// Counts a failure that the server caused.
    pub fn record_failure(&mut self, now: MonoTime) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= Self::MAX_FAILURES {
            let doubled = 1_u32 << (self.failures - Self::MAX_FAILURES).min(4);
            self.rest_until = now.after((Self::REST * doubled).min(Self::MAX_REST));
        }
    }

    /// Rests a server that refuses connections.
    pub fn record_connection_refused(&mut self, now: MonoTime) {
        self.failures = self.failures.max(Self::MAX_FAILURES - 1);
        self.record_failure(now);
    }

    /// Whether it rests after failures, is being tried again by one request, or is silent.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        let is_failing =
            self.failures >= Self::MAX_FAILURES && (now < self.rest_until || self.probing);
        is_failing || self.is_silent(now)
    }

    /// Requests there, of all instances.
    pub fn estimated_requests(&self, now: MonoTime, outlook: LoadAssumptions) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / Self::REPORT_HALF_LIFE);
        let usual = outlook.typical_occupancy * f64::from(self.slots);
        f64::from(self.own) + self.foreign * weight + usual * (1.0 - weight)
    }

    /// Time until another request would be done there, in seconds: its own run, and before that its
    /// part of those that wait.
    pub fn expected_completion(&self, now: MonoTime, outlook: LoadAssumptions) -> f64 {
        let excess = (self.estimated_requests(now, outlook) + 1.0 - f64::from(self.slots)).max(0.0);
        self.service_time * (outlook.service_time_ratio + excess / f64::from(self.slots))
    }

    /// Requests of other instances for each slot, as of the last report.
    pub fn foreign_occupancy(&self) -> f64 {
        self.foreign / f64::from(self.slots)
    }

    /// Requests in flight of this instance.
    pub fn own_requests(&self) -> u32 {
        self.own
    }

    /// Requests that run at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Time that a request runs, in seconds, and how many samples it stands on.
    pub fn service_time(&self) -> (f64, u32) {
        (self.service_time, self.samples)
    }
}
