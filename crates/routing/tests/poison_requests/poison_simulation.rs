//! Simulation of instances, servers that crash under some requests, and the store's record.

use crate::simulation_plan::{SimulationOutcome, SimulationPlan};
use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Request that runs on a server.
struct RunningCopy {
    content: usize,
    instance: usize,
    server: usize,
    ends_at: MonoTime,
}

struct SimulatedServer {
    incarnation: u64,
    down_until: MonoTime,
}

struct Message {
    to: usize,
    at: MonoTime,
    reports: Vec<SuspectReport>,
}

pub(crate) struct PoisonSimulation {
    plan: SimulationPlan,
    rng: StdRng,
    tables: Vec<QuarantineTable>,
    servers: Vec<SimulatedServer>,
    running: Vec<RunningCopy>,
    messages: Vec<Message>,
    record: QuarantineRecord,
    revision: u64,
    crashes: Vec<Vec<MonoTime>>,
    arrivals: Vec<Vec<MonoTime>>,
    refused_since: Vec<Option<MonoTime>>,
    restarted_at: Vec<MonoTime>,
    outcome: SimulationOutcome,
}

/// Content of the harmless request; poison requests have the numbers from 1 on.
const HARMLESS: usize = 0;
const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT_STEPS: u64 = 15;
const RECORD_STEPS: u64 = 10;
const RUN_TIME_MS: std::ops::Range<u64> = 30..200;
/// Time after a restart or a crash from which on the bound holds.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const DOWNTIME: Duration = Duration::from_secs(2);

impl PoisonSimulation {
    pub(crate) fn new(plan: SimulationPlan) -> Self {
        let server = |number: usize| SimulatedServer {
            incarnation: number as u64,
            down_until: MonoTime(0),
        };
        Self {
            plan,
            rng: StdRng::seed_from_u64(plan.seed),
            tables: vec![QuarantineTable::default(); plan.instances],
            servers: (0..plan.servers).map(server).collect(),
            running: Vec::new(),
            messages: Vec::new(),
            record: QuarantineRecord::default(),
            revision: 0,
            crashes: vec![Vec::new(); plan.poisons],
            arrivals: vec![Vec::new(); plan.poisons],
            refused_since: vec![None; plan.instances],
            restarted_at: vec![MonoTime(0); plan.instances],
            outcome: SimulationOutcome {
                later_arrivals: Vec::new(),
                longest_refusal: Duration::ZERO,
                refused_steps: 0,
                reports_sent: 0,
                record_writes: 0,
                are_tables_empty: false,
            },
        }
    }

    pub(crate) fn run(mut self) -> SimulationOutcome {
        for step in 1..self.plan.seconds * 100 {
            let now = MonoTime(step * STEP.as_micros() as u64);
            self.finish_copies(now);
            self.deliver(now);
            self.record_refusals(now);
            for _ in 0..3 {
                self.send_copy(HARMLESS, now);
            }
            for poison in 1..=self.plan.poisons {
                if self.rng.random_bool(0.06) {
                    self.send_copy(poison, now);
                }
            }
            if step.is_multiple_of(HEARTBEAT_STEPS) {
                self.send_heartbeats(now);
            }
            if step.is_multiple_of(RECORD_STEPS) {
                self.follow_record(now);
            }
            if self.plan.restarts && self.plan.instances > 1 && step.is_multiple_of(200) {
                let instance = self.rng.random_range(0..self.plan.instances);
                self.restart(instance, now);
            }
            if self.plan.all_restart && step == self.plan.seconds * 50 {
                (0..self.plan.instances).for_each(|instance| self.restart(instance, now));
            }
        }
        self.outcome.are_tables_empty = self.tables.iter().all(QuarantineTable::is_empty);
        for (crashes, arrivals) in self.crashes.iter().zip(&self.arrivals) {
            let bound = crashes.get(2).map(|third| third.after(SETTLE_TIME));
            let later = arrivals
                .iter()
                .filter(|at| bound.is_some_and(|bound| **at > bound));
            self.outcome.later_arrivals.push(later.count());
        }
        self.outcome
    }

    fn identity(content: usize) -> RequestIdentity {
        RequestIdentity(content as u128 + 1)
    }

    /// A caller sends the request to a random instance.
    fn send_copy(&mut self, content: usize, now: MonoTime) {
        let instance = self.rng.random_range(0..self.plan.instances);
        let identity = Self::identity(content);
        let is_admitted = match self.tables[instance].standing(identity, now) {
            RequestStanding::Clear | RequestStanding::Suspect => true,
            RequestStanding::Busy(_) | RequestStanding::Held(_) => false,
            RequestStanding::TrialDue(trial) => self.claim_trial(instance, identity, trial, now),
        };
        let live: Vec<usize> = (0..self.servers.len())
            .filter(|server| self.servers[*server].down_until <= now)
            .collect();
        if !is_admitted || live.is_empty() {
            return;
        }
        let server = live[self.rng.random_range(0..live.len())];
        self.tables[instance].start(identity);
        let run_time = Duration::from_millis(self.rng.random_range(RUN_TIME_MS));
        let is_settled = now.since(self.restarted_at[instance]) > SETTLE_TIME;
        if content != HARMLESS && is_settled {
            self.arrivals[content - 1].push(now);
        }
        self.running.push(RunningCopy {
            content,
            instance,
            server,
            ends_at: now.after(run_time),
        });
    }

    /// Records for how long each instance has been refusing the harmless request.
    fn record_refusals(&mut self, now: MonoTime) {
        for instance in 0..self.plan.instances {
            let standing = self.tables[instance].standing(Self::identity(HARMLESS), now);
            let is_refused = matches!(
                standing,
                RequestStanding::Busy(_) | RequestStanding::Held(_)
            );
            self.record_refusal(instance, is_refused, now);
        }
    }

    fn record_refusal(&mut self, instance: usize, is_refused: bool, now: MonoTime) {
        self.outcome.refused_steps += usize::from(is_refused);
        let since = &mut self.refused_since[instance];
        if !is_refused {
            *since = None;
            return;
        }
        let refused = now.since(*since.get_or_insert(now));
        self.outcome.longest_refusal = self.outcome.longest_refusal.max(refused);
    }

    fn claim_trial(
        &mut self,
        instance: usize,
        identity: RequestIdentity,
        trial: u32,
        now: MonoTime,
    ) -> bool {
        let is_claimed = self.plan.store_works && self.record.start_trial(identity, trial);
        if is_claimed {
            self.write_record(instance, now);
        }
        is_claimed
    }

    fn write_record(&mut self, instance: usize, now: MonoTime) {
        self.revision += 1;
        self.outcome.record_writes += 1;
        self.tables[instance].apply_record(&self.record, self.revision.into(), now);
    }

    /// Ends copies that are due; one that crashes its server takes the others there with it.
    fn finish_copies(&mut self, now: MonoTime) {
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|copy| copy.ends_at <= now);
        self.running = running;
        for copy in ended {
            if copy.content == HARMLESS {
                let identity = Self::identity(HARMLESS);
                self.tables[copy.instance].end(identity);
                self.tables[copy.instance].record_success(identity, now);
                continue;
            }
            self.crashes[copy.content - 1].push(now);
            let server = &mut self.servers[copy.server];
            let crashed = server.incarnation;
            server.incarnation += 10_000;
            server.down_until = now.after(DOWNTIME);
            let (lost, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
                .into_iter()
                .partition(|other| other.server == copy.server);
            self.running = running;
            for other in lost.into_iter().chain([copy]) {
                let identity = Self::identity(other.content);
                let report = SuspectReport {
                    identity,
                    target: TargetHash(other.content as u64),
                    is_keyed: false,
                    server: IncarnationHash(crashed),
                    verdict: CrashVerdict::Crashed,
                };
                self.tables[other.instance].end(identity);
                self.tables[other.instance].record_crash(report, now);
            }
        }
    }

    /// Each instance reports to the first one, which passes all reports on.
    fn send_heartbeats(&mut self, now: MonoTime) {
        for from in 0..self.plan.instances {
            let reports = self.tables[from].reports(from == 0, 16, now);
            if reports.is_empty() {
                continue;
            }
            let targets = match from {
                0 => 1..self.plan.instances,
                _ => 0..1,
            };
            for to in targets {
                self.outcome.reports_sent += 1;
                if self.rng.random_bool(self.plan.loss) {
                    continue;
                }
                let latency = Duration::from_millis(self.plan.latency_ms);
                let message = Message {
                    to,
                    at: now.after(latency),
                    reports: reports.clone(),
                };
                self.messages.push(message);
            }
        }
    }

    fn deliver(&mut self, now: MonoTime) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.at <= now);
        self.messages = later;
        for message in due {
            for report in message.reports {
                self.tables[message.to].apply_report(report, now);
            }
        }
    }

    /// Instances write what they found out, and read what others wrote.
    fn follow_record(&mut self, now: MonoTime) {
        if !self.plan.store_works {
            return;
        }
        for instance in 0..self.plan.instances {
            let is_leader = instance == 0;
            if self.tables[instance].update_record(&mut self.record, is_leader, 1) {
                self.write_record(instance, now);
            }
        }
        for table in &mut self.tables {
            table.apply_record(&self.record, self.revision.into(), now);
        }
    }

    fn restart(&mut self, instance: usize, now: MonoTime) {
        self.tables[instance] = QuarantineTable::default();
        self.restarted_at[instance] = now;
    }
}
