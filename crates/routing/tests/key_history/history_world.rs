//! Simulated instances, servers, store and orders of one history, and the faults injected into it.

use crate::{
    fake_server::{BLOCK_KEYS, BLOCKS, FakeServer},
    fake_store::FakeStore,
    history_parameters::HistoryParameters,
    peer_heartbeats::SentHeartbeat,
    sent_order::SentOrder,
};
use geraniummast_routing::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Time for which servers may hold keys after a grant.
pub(crate) const GRANT_MS: u64 = 3_000;
/// Length of one step of simulated time.
const STEP_MS: u64 = 20;
/// Identifiers of the servers.
pub(crate) const SERVERS: [&str; 4] = ["s0", "s1", "s2", "s3"];
/// Number of steps of one history.
const STEPS: u64 = 1_500;
/// Number of instances in histories with heartbeats; in others there are fewer.
pub(crate) const MAX_INSTANCES: usize = 5;

pub(crate) struct FakeInstance {
    pub(crate) leader: KeyLeader,
    /// Era of the store that the instance knows.
    pub(crate) era: u64,
    /// Times until which the instance is paused, or cut off from the store.
    pub(crate) paused_until: u64,
    pub(crate) store_cut_until: u64,
    pub(crate) restart_at: Option<u64>,
    pub(crate) planned_at: u64,
    pub(crate) confirmed_at: u64,
    pub(crate) started_at: u64,
    pub(crate) peers_cut_until: u64,
    /// Times until which the instance is cut off from each server.
    pub(crate) links_cut_until: Vec<u64>,
    /// Sending time of the last heartbeat from each instance, and the sender's incarnation.
    pub(crate) heard: Vec<(u64, u64)>,
    /// Start times of the servers that discovery has reported.
    pub(crate) known_born: Vec<u64>,
    /// Connections for grants to each server: the start time of the incarnation that one leads to, and
    /// the fences that it must not carry.
    pub(crate) connections: Vec<Option<(u64, FenceFloor)>>,
    /// Fences sent to each server.
    pub(crate) sent_fences: Vec<SentFences>,
    /// Times until which the instance plans without a server whose connection broke.
    pub(crate) suspect_until: Vec<u64>,
    /// Health of each server's incarnation as the instance's orders show it.
    pub(crate) health: Vec<(u64, OrderHealth)>,
}

/// State of one simulated history.
pub(crate) struct HistoryWorld {
    pub(crate) rng: StdRng,
    pub(crate) parameters: HistoryParameters,
    pub(crate) now: u64,
    pub(crate) store: FakeStore,
    /// Time until which no instance reaches the store.
    pub(crate) store_away_until: u64,
    /// Number of times that a leader has written its record again after a restore.
    pub(crate) rewrites: u64,
    pub(crate) late_writes: Vec<(u64, u64, KeyRecord)>,
    pub(crate) instances: Vec<FakeInstance>,
    pub(crate) servers: Vec<FakeServer>,
    pub(crate) orders: Vec<SentOrder>,
    pub(crate) heartbeats: Vec<SentHeartbeat>,
    pub(crate) has_no_faults: bool,
    /// Highest fence under which each block was ever held, and its last holder.
    pub(crate) highest_fences: Vec<(u64, Option<ServerIncarnation>)>,
    /// Time at which each block was last held.
    pub(crate) last_held_at: Vec<u64>,
    /// Longest time for which a block had no holder after its first one.
    pub(crate) longest_gap: u64,
}

impl HistoryWorld {
    pub(crate) fn new(seed: u64, parameters: HistoryParameters) -> Self {
        let instance = |index: usize| FakeInstance {
            leader: KeyLeader::new(incarnation_of(index, 1), timing(&parameters)),
            era: 0,
            paused_until: 0,
            store_cut_until: 0,
            restart_at: None,
            planned_at: 0,
            confirmed_at: 0,
            started_at: 0,
            peers_cut_until: 0,
            links_cut_until: vec![0; SERVERS.len()],
            heard: vec![(0, 0); MAX_INSTANCES],
            known_born: vec![1; SERVERS.len()],
            connections: vec![None; SERVERS.len()],
            sent_fences: vec![SentFences::default(); SERVERS.len()],
            suspect_until: vec![0; SERVERS.len()],
            health: vec![(1, OrderHealth::default()); SERVERS.len()],
        };
        let instances = match parameters.has_heartbeats {
            true => MAX_INSTANCES,
            false => 3,
        };
        Self {
            instances: (0..instances).map(instance).collect(),
            servers: SERVERS
                .iter()
                .map(|id| FakeServer::new(id, parameters.servers_check_fences))
                .collect(),
            rng: StdRng::seed_from_u64(seed),
            parameters,
            now: 0,
            store: FakeStore::new(),
            store_away_until: 0,
            rewrites: 0,
            late_writes: Vec::new(),
            orders: Vec::new(),
            heartbeats: Vec::new(),
            has_no_faults: false,
            highest_fences: vec![(0, None); BLOCKS],
            last_held_at: vec![0; BLOCKS],
            longest_gap: 0,
        }
    }

    /// Ends all faults.
    pub(crate) fn end_faults(&mut self) {
        self.has_no_faults = true;
        for instance in &mut self.instances {
            instance.paused_until = 0;
            instance.store_cut_until = 0;
            instance.peers_cut_until = 0;
            instance.links_cut_until = vec![0; SERVERS.len()];
        }
        for server in &mut self.servers {
            if !server.is_up {
                server.restart();
            }
        }
    }

    /// Runs the simulation; returns the first violation of an invariant.
    pub(crate) fn run(&mut self) -> Result<(), String> {
        for _ in 0..STEPS {
            self.now += STEP_MS;
            if !self.has_no_faults && self.has_fault() {
                self.inject_faults();
            }
            self.restart_instances();
            if !self.has_no_faults {
                self.break_connections();
                self.refuse_connections();
            }
            self.restore_store();
            self.execute_late_writes();
            self.execute_due_orders();
            if self.parameters.has_heartbeats {
                self.exchange_heartbeats();
            }
            for index in 0..self.instances.len() {
                self.step_instance(index);
            }
            self.check_invariants()?;
        }
        Ok(())
    }

    /// Keys that no server has held for a second, which is longer than a move takes.
    pub(crate) fn unowned_keys(&self) -> Vec<u32> {
        (0..BLOCKS)
            .filter(|&block| self.last_held_at[block] + 1_000 < self.now)
            .map(|block| block as u32 * BLOCK_KEYS)
            .collect()
    }

    pub(crate) fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    /// Like `chance`, without a draw if there is no chance.
    pub(crate) fn chance_of(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.chance(per_mille)
    }

    /// Whether a fault of an instance, a server or a link may happen now.
    pub(crate) fn has_fault(&mut self) -> bool {
        let share = self.parameters.fault_share_per_mille;
        share >= 1_000 || self.chance_of(share)
    }

    pub(crate) fn random_between(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    pub(crate) fn is_alive(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.restart_at.is_none() && instance.paused_until <= self.now
    }

    pub(crate) fn is_store_reachable(&self, index: usize) -> bool {
        self.store_away_until <= self.now && self.instances[index].store_cut_until <= self.now
    }

    /// Runs one step of one instance.
    fn step_instance(&mut self, index: usize) {
        if !self.is_alive(index) {
            return;
        }
        self.read_store(index);
        match self.instances[index].leader.is_leader() {
            false => self.consider_takeover(index),
            true => {
                self.end_unknown_leader(index);
                self.send_due_orders(index);
                match self.instances[index].leader.needs_restore() {
                    true => self.restore_record(index),
                    false => self.write_due_changes(index),
                }
            }
        }
    }

    fn check_invariants(&mut self) -> Result<(), String> {
        let now = self.now as f64;
        for block in 0..BLOCKS {
            let holders: Vec<(ServerIncarnation, u64)> = self
                .servers
                .iter()
                .filter_map(|server| Some((server.incarnation(), server.held_fence(block, now)?)))
                .collect();
            let key = block as u32 * BLOCK_KEYS;
            if let [(one, one_fence), (two, two_fence), ..] = holders.as_slice() {
                return Err(format!(
                    "at {} ms key {key} is held by {one} ({one_fence}) and {two} ({two_fence})",
                    self.now
                ));
            }
            let Some((holder, fence)) = holders.first() else {
                if self.last_held_at[block] > 0 {
                    let gap = self.now - self.last_held_at[block];
                    self.longest_gap = self.longest_gap.max(gap);
                }
                continue;
            };
            self.last_held_at[block] = self.now;
            let (highest_fence, last) = &mut self.highest_fences[block];
            let is_other = last.as_ref().is_some_and(|last| last != holder);
            if is_other && *fence <= *highest_fence {
                return Err(format!(
                    "at {} ms key {key} moved to {holder} under {fence}, not above {highest_fence}",
                    self.now
                ));
            }
            *highest_fence = (*highest_fence).max(*fence);
            *last = Some(holder.clone());
        }
        Ok(())
    }
}

pub(crate) fn incarnation_of(index: usize, incarnation: u64) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: format!("i{index}"),
        incarnation,
    }
}

pub(crate) fn instance_of(incarnation: &InstanceIncarnation) -> usize {
    incarnation.instance[1..].parse().unwrap()
}

pub(crate) fn timing(parameters: &HistoryParameters) -> LeaderTiming {
    LeaderTiming {
        grant_duration: Duration::from_millis(parameters.assumed_grant_ms),
        renewal_interval: Duration::from_millis(900),
        authority: Duration::from_millis(parameters.authority_ms),
        support_validity: Duration::from_millis(parameters.support_ms),
        former_support: Duration::from_millis(parameters.assumed_support_ms),
        former_authority: Duration::from_millis(parameters.assumed_authority_ms),
        retry_delay: Duration::from_millis(300),
    }
}
