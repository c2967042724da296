//! One instance's view of a server's load and health.
//!
//! The instance counts its own requests exactly. The server's reports cover the requests of all
//! instances but grow stale. The estimate is the sum of the instance's own requests and those of
//! the others: as of the last report at first, and with its age more and more the typical occupancy
//! of the service's servers.

use crate::prelude::*;

/// Load and health of one server.
#[derive(Clone, Debug)]
pub struct LoadTracker {
    slots: u32,
    own_requests: u32,
    foreign_requests: f64,
    reported_at: MonoTime,
    /// Mean run time of a request at the server, in seconds.
    service_time: f64,
    samples: u32,
    consecutive_failures: u32,
    /// Time from which an ejected server may be tried again.
    ejected_until: MonoTime,
    is_probing: bool,
    /// Time until which the server wants no requests from this instance.
    rests_until: MonoTime,
    /// Whether the server has accepted no request since it last wanted none.
    is_rest_unproved: bool,
    /// Whether a request is under way that shows whether the rest has ended.
    is_rest_probed: bool,
    /// Time since which requests of this instance are in flight and none has been answered.
    unanswered_since: Option<MonoTime>,
    /// Run time on the server's machine as of the last report, in percent of the normal one.
    run_time_percent: Option<u32>,
    /// Mean of that figure over the samples of the service time.
    mean_run_time_percent: f64,
}

/// Load as reported by the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run at the server.
    pub running: u32,
    /// Requests that wait in the server's queue.
    pub waiting: u32,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// How long work takes on the server's machine now, in percent of the normal time, if the
    /// server says so.
    pub run_time_percent: Option<u32>,
}

impl LoadTracker {
    /// Weight of a new sample of the service time.
    const SAMPLE_WEIGHT: f64 = 0.15;
    /// Time in which a report loses half of its weight, in seconds.
    const REPORT_HALF_LIFE_S: f64 = 0.5;
    /// Silence after which a server counts as lost, as a multiple of the service time.
    const SILENCE_FACTOR: f64 = 6.0;
    /// Shortest silence after which a server counts as lost.
    const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
    /// Consecutive failures after which a server is ejected.
    const MAX_CONSECUTIVE_FAILURES: u32 = 3;
    /// Longest time for which one answer keeps requests away from a server.
    const MAX_REST: Duration = Duration::from_secs(900);
    /// Time until the request that follows a rest is expected to have an answer.
    const PROBE_WAIT: Duration = Duration::from_millis(50);
    /// Time of the first ejection; doubled by each further failure.
    const EJECTION_TIME: Duration = Duration::from_millis(400);
    /// Longest time of one ejection.
    const MAX_EJECTION_TIME: Duration = Duration::from_secs(3);
    /// Age at which a reported run time says nothing more, in seconds: other work on the machine
    /// comes and goes many times a second.
    const RUN_TIME_HORIZON_S: f64 = 0.4;
    /// Smallest effect of a reported run time.
    const MIN_RUN_TIME_FACTOR: f64 = 0.5;
    /// Largest effect of a reported run time.
    const MAX_RUN_TIME_FACTOR: f64 = 3.0;
    /// Reported run time of a machine without other work.
    const NORMAL_RUN_TIME_PERCENT: f64 = 100.0;

    /// Creates the tracker of a server with `slots` and an initial guess of its service time in
    /// seconds.
    pub fn new(slots: u32, service_time: f64) -> Self {
        Self {
            slots: slots.max(1),
            own_requests: 0,
            foreign_requests: 0.0,
            reported_at: MonoTime::default(),
            service_time,
            samples: 0,
            consecutive_failures: 0,
            ejected_until: MonoTime::default(),
            is_probing: false,
            rests_until: MonoTime::default(),
            is_rest_unproved: false,
            is_rest_probed: false,
            unanswered_since: None,
            run_time_percent: None,
            mean_run_time_percent: Self::NORMAL_RUN_TIME_PERCENT,
        }
    }

    /// Counts a request of this instance that is about to be sent.
    pub fn request_started(&mut self, now: MonoTime) {
        self.own_requests += 1;
        self.unanswered_since.get_or_insert(now);
        self.is_probing = self.consecutive_failures >= Self::MAX_CONSECUTIVE_FAILURES
            && now >= self.ejected_until;
        self.is_rest_probed = self.is_rest_unproved && now >= self.rests_until;
    }

    /// Counts the end of a request of this instance.
    pub fn request_ended(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
        if self.own_requests == 0 {
            self.unanswered_since = None;
        }
        self.is_probing = false;
        self.is_rest_probed = false;
    }

    /// Takes over the server's report, made at the end of a request of this instance.
    pub fn apply_report(&mut self, load: ReportedLoad, now: MonoTime) {
        self.slots = load.slots.max(1);
        self.foreign_requests = f64::from(
            load.running
                .saturating_add(load.waiting)
                .saturating_sub(self.own_requests),
        );
        self.run_time_percent = load.run_time_percent;
        self.reported_at = now;
    }

    /// Records a successful request. Its duration updates the service time unless the request
    /// waited in the server's queue.
    pub fn record_success(&mut self, took: Duration, was_queued: bool) {
        self.consecutive_failures = 0;
        self.is_rest_unproved = false;
        if was_queued {
            return;
        }
        let took = took.as_secs_f64();
        self.samples += 1;
        let weight = Self::SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.service_time += (took - self.service_time) * weight;
        if let Some(percent) = self.run_time_percent {
            self.mean_run_time_percent +=
                (f64::from(percent) - self.mean_run_time_percent) * weight;
        }
    }

    /// Records that the server answered, whether with success or failure.
    pub fn record_answer(&mut self, now: MonoTime) {
        self.unanswered_since = Some(now);
    }

    /// Whether requests are in flight and none has been answered for much longer than the service
    /// time.
    pub fn is_silent(&self, now: MonoTime) -> bool {
        let silence_timeout = self.silence_timeout();
        self.own_requests > 0
            && self
                .unanswered_since
                .is_some_and(|since| now.since(since) > silence_timeout)
    }

    /// Silence after which the server counts as lost.
    pub fn silence_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.service_time * Self::SILENCE_FACTOR)
            .max(Self::MIN_SILENCE_TIMEOUT)
    }

    /// Records a failure caused by the server; ejects it after several in a row.
    pub fn record_failure(&mut self, now: MonoTime) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= Self::MAX_CONSECUTIVE_FAILURES {
            let doubled =
                1_u32 << (self.consecutive_failures - Self::MAX_CONSECUTIVE_FAILURES).min(4);
            self.ejected_until =
                now.after((Self::EJECTION_TIME * doubled).min(Self::MAX_EJECTION_TIME));
        }
    }

    /// Ejects a server that refuses connections.
    pub fn record_connection_refused(&mut self, now: MonoTime) {
        self.consecutive_failures = self
            .consecutive_failures
            .max(Self::MAX_CONSECUTIVE_FAILURES - 1);
        self.record_failure(now);
    }

    /// Records that the server wants no requests from this instance for some time.
    pub fn record_rest(&mut self, rest: Duration, now: MonoTime) {
        let until = now.after(rest.min(Self::MAX_REST));
        self.rests_until = self.rests_until.max(until);
        self.is_rest_unproved = true;
    }

    /// Time for which the server gets no requests from this instance; zero if it may get one. After
    /// the time that the server named, one request shows whether it takes requests again.
    pub fn rest_left(&self, now: MonoTime) -> Duration {
        let left = self.rests_until.since(now);
        match left.is_zero() && self.is_rest_unproved && self.is_rest_probed {
            true => Self::PROBE_WAIT,
            false => left,
        }
    }

    /// Whether the server must get no further requests: it is ejected after failures, is being
    /// probed by one request, or is silent.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        let is_failing = self.consecutive_failures >= Self::MAX_CONSECUTIVE_FAILURES
            && (now < self.ejected_until || self.is_probing);
        is_failing || self.is_silent(now)
    }

    /// Estimated number of requests of all instances at the server.
    pub fn estimated_requests(&self, now: MonoTime, assumptions: LoadAssumptions) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / Self::REPORT_HALF_LIFE_S);
        let typical = assumptions.typical_occupancy * f64::from(self.slots);
        f64::from(self.own_requests) + self.foreign_requests * weight + typical * (1.0 - weight)
    }

    /// Expected time until another request would complete, in seconds: its own run time plus the
    /// wait for its share of the queue.
    pub fn expected_completion(&self, now: MonoTime, assumptions: LoadAssumptions) -> f64 {
        let excess =
            (self.estimated_requests(now, assumptions) + 1.0 - f64::from(self.slots)).max(0.0);
        self.service_time * (assumptions.service_time_ratio + excess / f64::from(self.slots))
    }

    /// Run time that a request sent now is expected to have by the last report of the machine's
    /// speed, as a multiple of the mean one; `None` without a recent report. The mean service time
    /// includes the mean effect of other work on the machine, so only the difference from it
    /// counts. The value is good for choosing among servers but not for refusing requests, which
    /// may outlast it.
    pub fn run_time_factor(&self, now: MonoTime) -> Option<f64> {
        let percent = f64::from(self.run_time_percent?);
        // What counts is the time in the middle of the request's run.
        let age = now.since(self.reported_at).as_secs_f64() + self.service_time / 2.0;
        let weight = 1.0 - age / Self::RUN_TIME_HORIZON_S;
        let factor = percent / self.mean_run_time_percent.max(1.0);
        (weight > 0.0).then(|| {
            factor
                .clamp(Self::MIN_RUN_TIME_FACTOR, Self::MAX_RUN_TIME_FACTOR)
                .powf(weight)
        })
    }

    /// Requests of other instances per slot, as of the last report.
    pub fn foreign_occupancy(&self) -> f64 {
        self.foreign_requests / f64::from(self.slots)
    }

    /// Requests of this instance in flight.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Requests that the server runs at the same time.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Mean run time of a request, in seconds, and the number of samples behind it.
    pub fn service_time(&self) -> (f64, u32) {
        (self.service_time, self.samples)
    }
}
