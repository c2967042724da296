//! Event-driven simulation of instances that share one server's limit.

use crate::simulation_plan::{CallerSpread, HolderFault, SimulationPlan};
use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A waiting request looks again.
    Recheck(usize),
    AskReceived {
        holder: usize,
        instance: usize,
        number: u64,
        wanted: u32,
    },
    GrantReceived {
        instance: usize,
        number: u64,
        tokens: u32,
        pause_us: u64,
    },
}

struct WaitingRequest {
    instance: usize,
    arrived_at: MonoTime,
}

pub(crate) struct LimitSimulation {
    plan: SimulationPlan,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    clients: Vec<QuotaClient>,
    holders: BTreeMap<usize, QuotaHolder>,
    waiting: BTreeMap<usize, WaitingRequest>,
    request_count: usize,
    /// When each instance learns of the server.
    knows_at: Vec<MonoTime>,
    sent: Vec<f64>,
}

impl LimitSimulation {
    /// Longest time that a request waits for a token.
    const MAX_WAIT: Duration = Duration::from_millis(120);
    /// Time after which the instances follow the successor of a lost holder.
    const SUCCESSION_TIME: Duration = Duration::from_millis(800);
    const FREEZE_TIME: Duration = Duration::from_millis(2_500);

    pub(crate) fn new(plan: SimulationPlan) -> Self {
        let start = MonoTime(0);
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let knows_at = (0..plan.instances).map(|instance| match plan.is_staggered {
            true if instance > 1 && rng.random_bool(0.2) => {
                MonoTime(rng.random_range(0..plan.seconds * 1_000_000))
            }
            true => MonoTime(rng.random_range(0..2_000_000)),
            false => start,
        });
        Self {
            plan,
            knows_at: knows_at.collect(),
            rng,
            events: BinaryHeap::new(),
            event_count: 0,
            clients: vec![QuotaClient::default(); plan.instances],
            holders: BTreeMap::from([(0, QuotaHolder::new(start, start))]),
            waiting: BTreeMap::new(),
            request_count: 0,
            sent: Vec::new(),
        }
    }

    /// Most entries of `sent`, in seconds, in a window of `span` seconds.
    pub(crate) fn most_in_window(sent: &[f64], span: f64) -> usize {
        let in_window = |(position, at): (usize, &f64)| {
            position + 1 - sent.partition_point(|earlier| *earlier < at - span)
        };
        sent.iter().enumerate().map(in_window).max().unwrap_or(0)
    }

    /// Runs the simulation and returns the times in seconds at which requests were sent.
    pub(crate) fn run(mut self) -> Vec<f64> {
        let end = MonoTime(self.plan.seconds * 1_000_000);
        self.schedule(MonoTime(1), Event::Arrival);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            let now = MonoTime(at);
            if now >= end {
                break;
            }
            match event {
                Event::Arrival => self.arrive(now),
                Event::Recheck(request) => self.look(request, false, now),
                Event::AskReceived {
                    holder,
                    instance,
                    number,
                    wanted,
                } => self.answer(holder, instance, QuotaAsk { number, wanted }, now),
                Event::GrantReceived {
                    instance,
                    number,
                    tokens,
                    pause_us,
                } => {
                    let grant = QuotaGrant {
                        number,
                        tokens,
                        pause: Duration::from_micros(pause_us),
                    };
                    self.receive_grant(instance, grant, now);
                }
            }
        }
        self.sent
    }

    fn schedule(&mut self, at: MonoTime, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at.0, self.event_count, event)));
    }

    fn fault_at(&self) -> MonoTime {
        MonoTime(self.plan.seconds * 1_000_000 / 3)
    }

    /// The instance that another one takes for the holder.
    fn current_holder(&self, instance: usize, now: MonoTime) -> usize {
        let has_successor = match self.plan.fault {
            HolderFault::Lost | HolderFault::Frozen => true,
            HolderFault::Split => instance % 2 == 1,
            HolderFault::None | HolderFault::Unreachable => false,
        };
        let is_over =
            self.plan.instances > 1 && now >= self.fault_at().after(Self::SUCCESSION_TIME);
        usize::from(has_successor && is_over)
    }

    fn arrive(&mut self, now: MonoTime) {
        let rate = (self.plan.demand * self.plan.limit).max(1.0);
        let pause = -(1.0 - self.rng.random_range(0.0..1.0_f64)).ln() / rate;
        self.schedule(
            now.after(Duration::from_secs_f64(pause.max(1e-6))),
            Event::Arrival,
        );
        let last = self.plan.instances - 1;
        let is_late = now.0 * 2 > self.plan.seconds * 1_000_000;
        let instance = match self.plan.spread {
            CallerSpread::Even => self.rng.random_range(0..=last),
            CallerSpread::AllAtOne => last / 2,
            CallerSpread::Moving if is_late => last,
            CallerSpread::Moving => last / 2,
        };
        if now < self.knows_at[instance] {
            return;
        }
        self.request_count += 1;
        let request = WaitingRequest {
            instance,
            arrived_at: now,
        };
        self.waiting.insert(self.request_count, request);
        self.look(self.request_count, true, now);
    }

    /// Has a request look for a token.
    fn look(&mut self, number: usize, is_new: bool, now: MonoTime) {
        let Some(request) = self.waiting.get(&number) else {
            return;
        };
        let instance = request.instance;
        let is_overdue = now.since(request.arrived_at) >= Self::MAX_WAIT;
        let draw = self.rng.random_range(0.0..1.0);
        let (limit, instances) = (self.plan.limit, self.plan.instances);
        let client = &mut self.clients[instance];
        match client.next_step(is_new, limit, instances, now, draw) {
            QuotaStep::Send => {
                self.waiting.remove(&number);
                self.sent.push(now.0 as f64 / 1e6);
            }
            QuotaStep::Refuse(_) => {
                self.waiting.remove(&number);
            }
            _ if is_overdue => {
                self.waiting.remove(&number);
            }
            QuotaStep::Ask(ask) => {
                let holder = self.current_holder(instance, now);
                let event = Event::AskReceived {
                    holder,
                    instance,
                    number: ask.number,
                    wanted: ask.wanted,
                };
                self.transmit(event, holder == instance, now);
                self.schedule(now.after(Duration::from_millis(25)), Event::Recheck(number));
            }
            QuotaStep::Wait => {
                self.schedule(now.after(Duration::from_millis(25)), Event::Recheck(number));
            }
        }
    }

    fn transmit(&mut self, event: Event, is_local: bool, now: MonoTime) {
        if is_local {
            return self.schedule(now, event);
        }
        if !self.rng.random_bool(self.plan.loss) {
            let delay = Duration::from_micros(self.rng.random_range(500..1_500));
            self.schedule(now.after(delay), event);
        }
    }

    fn answer(&mut self, holder: usize, instance: usize, ask: QuotaAsk, now: MonoTime) {
        if now < self.knows_at[holder] {
            return;
        }
        let is_faulty = holder == 0 && self.plan.instances > 1 && now >= self.fault_at();
        match self.plan.fault {
            HolderFault::Lost if is_faulty => return,
            HolderFault::Unreachable if is_faulty && instance % 3 == 1 => return,
            HolderFault::Frozen if is_faulty => {
                let thaw_at = self.fault_at().after(Self::FREEZE_TIME);
                if now < thaw_at {
                    let event = Event::AskReceived {
                        holder,
                        instance,
                        number: ask.number,
                        wanted: ask.wanted,
                    };
                    return self.schedule(thaw_at, event);
                }
            }
            _ => {}
        }
        let holder_state = self
            .holders
            .entry(holder)
            .or_insert_with(|| QuotaHolder::new(now, now));
        let asker = InstanceIncarnation {
            instance: instance.to_string(),
            incarnation: 1,
        };
        let grant = holder_state.answer(&asker, ask, self.plan.limit, now);
        let event = Event::GrantReceived {
            instance,
            number: grant.number,
            tokens: grant.tokens,
            pause_us: grant.pause.as_micros() as u64,
        };
        self.transmit(event, holder == instance, now);
    }

    fn receive_grant(&mut self, instance: usize, grant: QuotaGrant, now: MonoTime) {
        if !self.clients[instance].apply_grant(grant, now) {
            return;
        }
        let waiting: Vec<usize> = self
            .waiting
            .iter()
            .filter(|(_, request)| request.instance == instance)
            .map(|(number, _)| *number)
            .collect();
        for number in waiting {
            self.look(number, false, now);
        }
    }
}
