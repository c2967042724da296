//! Instances, servers, store and messages of one history.

use crate::{
    fake_server::{BLOCK, BLOCKS, FakeServer},
    fake_store::FakeStore,
    flying_order::FlyingOrder,
    history_plan::HistoryPlan,
};
use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Hold that is granted.
pub(crate) const HOLD_MS: u64 = 3_000;
/// Step of simulated time.
const STEP_MS: u64 = 20;
/// Identifiers of the servers.
const SERVERS: [&str; 4] = ["s0", "s1", "s2", "s3"];
/// Steps of one run.
const STEPS: u64 = 1_500;

pub(crate) struct FakeInstance {
    pub(crate) lead: KeyLeader,
    /// Frozen or cut from the store until then.
    pub(crate) frozen_until: u64,
    pub(crate) cut_until: u64,
    pub(crate) restart_at: Option<u64>,
    pub(crate) planned_at: u64,
    pub(crate) confirmed_at: u64,
    pub(crate) started_at: u64,
    /// Lives of the servers that discovery has told of.
    pub(crate) known_born: Vec<u64>,
    /// Lives that the connections for renewals lead to, 0 without one.
    pub(crate) links: Vec<u64>,
    /// Servers without which it plans until then, since a connection broke.
    pub(crate) unsure_until: Vec<u64>,
}

/// One history.
pub(crate) struct HistoryWorld {
    pub(crate) rng: StdRng,
    pub(crate) plan: HistoryPlan,
    pub(crate) now: u64,
    pub(crate) store: FakeStore,
    pub(crate) late_writes: Vec<(u64, u64, KeyRecord)>,
    pub(crate) instances: Vec<FakeInstance>,
    pub(crate) servers: Vec<FakeServer>,
    pub(crate) orders: Vec<FlyingOrder>,
    pub(crate) is_calm: bool,
    /// Highest fence under which a block was ever held, and by whom.
    pub(crate) highest: Vec<(u64, Option<ServerIncarnation>)>,
    /// When a block was last held.
    pub(crate) held_at: Vec<u64>,
}

impl HistoryWorld {
    pub(crate) fn new(seed: u64, plan: HistoryPlan) -> Self {
        let instance = |number: usize| FakeInstance {
            lead: KeyLeader::new(mark_of(number, 1), timing(&plan)),
            frozen_until: 0,
            cut_until: 0,
            restart_at: None,
            planned_at: 0,
            confirmed_at: 0,
            started_at: 0,
            known_born: vec![1; SERVERS.len()],
            links: vec![0; SERVERS.len()],
            unsure_until: vec![0; SERVERS.len()],
        };
        Self {
            instances: (0..3).map(instance).collect(),
            servers: SERVERS
                .iter()
                .map(|id| FakeServer::new(id, plan.servers_check_fences))
                .collect(),
            rng: StdRng::seed_from_u64(seed),
            plan,
            now: 0,
            store: FakeStore::default(),
            late_writes: Vec::new(),
            orders: Vec::new(),
            is_calm: false,
            highest: vec![(0, None); BLOCKS],
            held_at: vec![0; BLOCKS],
        }
    }

    /// Ends all faults.
    pub(crate) fn calm_down(&mut self) {
        self.is_calm = true;
        for instance in &mut self.instances {
            instance.frozen_until = 0;
            instance.cut_until = 0;
        }
        for server in &mut self.servers {
            if !server.is_up {
                server.restart();
            }
        }
    }

    /// Plays on, until a rule breaks.
    pub(crate) fn run(&mut self) -> Result<(), String> {
        for _ in 0..STEPS {
            self.now += STEP_MS;
            if !self.is_calm {
                self.cause_faults();
                self.break_connections();
            }
            self.apply_late_writes();
            self.deliver_orders();
            for number in 0..self.instances.len() {
                self.live(number);
            }
            self.check()?;
        }
        Ok(())
    }

    /// Keys that nobody has held for a second, which is longer than a move takes.
    pub(crate) fn lost_keys(&self) -> Vec<u32> {
        (0..BLOCKS)
            .filter(|&block| self.held_at[block] + 1_000 < self.now)
            .map(|block| block as u32 * BLOCK)
            .collect()
    }

    pub(crate) fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    pub(crate) fn span(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    fn cause_faults(&mut self) {
        let number = self.rng.random_range(0..self.instances.len());
        let until = self.now + self.span(500, 12_000);
        match self.rng.random_range(0..1_000) {
            0..4 => self.instances[number].frozen_until = until,
            4..8 => self.instances[number].cut_until = until,
            8..11 => {
                let back = self.now + self.span(300, 4_000);
                self.instances[number].restart_at = Some(back);
            }
            11..13 => {
                let server = self.rng.random_range(0..self.servers.len());
                self.servers[server].is_up = false;
            }
            13..16 => {
                let server = self.rng.random_range(0..self.servers.len());
                self.servers[server].restart();
            }
            _ => {}
        }
        for number in 0..self.instances.len() {
            if self.instances[number]
                .restart_at
                .is_some_and(|at| at <= self.now)
            {
                let before = self.instances[number].lead.own_incarnation().incarnation;
                self.instances[number] = FakeInstance {
                    lead: KeyLeader::new(mark_of(number, before + 1), timing(&self.plan)),
                    frozen_until: 0,
                    cut_until: 0,
                    restart_at: None,
                    planned_at: 0,
                    confirmed_at: 0,
                    started_at: self.now,
                    known_born: self.servers.iter().map(|server| server.born).collect(),
                    links: vec![0; SERVERS.len()],
                    unsure_until: vec![0; SERVERS.len()],
                };
            }
        }
    }

    fn is_alive(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        instance.restart_at.is_none() && instance.frozen_until <= self.now
    }

    pub(crate) fn reaches_store(&self, number: usize) -> bool {
        self.instances[number].cut_until <= self.now
    }

    /// One look of one instance.
    fn live(&mut self, number: usize) {
        if !self.is_alive(number) {
            return;
        }
        self.read_store(number);
        match self.instances[number].lead.is_leader() {
            false => self.consider_takeover(number),
            true => {
                self.order(number);
                self.write_changes(number);
            }
        }
    }

    fn read_store(&mut self, number: usize) {
        if !self.reaches_store(number) || self.chance(300) {
            return;
        }
        let now = MonoTime(self.now * 1_000);
        if let Some(record) = self.store.record.clone() {
            let leads = record.leader == *self.instances[number].lead.own_incarnation();
            let revision = self.store.revision;
            let instance = &mut self.instances[number];
            instance.lead.adopt(record, revision, now);
            if leads && self.now >= instance.confirmed_at + 1_000 {
                instance.confirmed_at = self.now;
                instance.lead.confirm_leadership(now);
            }
        }
    }

    fn consider_takeover(&mut self, number: usize) {
        if !self.reaches_store(number) || self.chance(900) {
            return;
        }
        let me = self.instances[number].lead.own_incarnation().clone();
        let Some(record) = self.store.record.clone() else {
            let record = KeyRecord::new("service", me);
            self.write(number, 0, record);
            return;
        };
        let leader = instance_of(&record.leader);
        let is_lost = self.instances[leader].lead.own_incarnation() != &record.leader
            || !self.is_alive(leader)
            || !self.reaches_store(leader);
        if is_lost && self.now > self.instances[number].started_at + 500 {
            let base = self.store.revision;
            self.write(number, base, record.with_leader(me));
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let now = self.now as f64;
        for block in 0..BLOCKS {
            let holders: Vec<(ServerIncarnation, u64)> = self
                .servers
                .iter()
                .filter_map(|server| Some((server.mark(), server.holds(block, now)?)))
                .collect();
            let key = block as u32 * BLOCK;
            if let [(one, low), (two, high), ..] = holders.as_slice() {
                return Err(format!(
                    "at {} ms key {key} is held by {one} under {low} and by {two} under {high}",
                    self.now
                ));
            }
            let Some((holder, fence)) = holders.first() else {
                continue;
            };
            self.held_at[block] = self.now;
            let (highest, last) = &mut self.highest[block];
            let is_other = last.as_ref().is_some_and(|last| last != holder);
            if is_other && *fence <= *highest {
                return Err(format!(
                    "at {} ms key {key} moved to {holder} under {fence}, not above {highest}",
                    self.now
                ));
            }
            *highest = (*highest).max(*fence);
            *last = Some(holder.clone());
        }
        Ok(())
    }
}

fn mark_of(number: usize, incarnation: u64) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: format!("i{number}"),
        incarnation,
    }
}

fn instance_of(mark: &InstanceIncarnation) -> usize {
    mark.instance[1..].parse().unwrap()
}

fn timing(plan: &HistoryPlan) -> LeaderTiming {
    LeaderTiming {
        grant_duration: Duration::from_millis(plan.booked_hold_ms),
        renewal_interval: Duration::from_millis(900),
        authority: Duration::from_millis(plan.authority_ms),
        former_authority: Duration::from_millis(plan.assumed_authority_ms),
        retry_delay: Duration::from_millis(300),
    }
}
