//! Instances and servers that are paused, cut off, restarted or lost.

use crate::history_world::{
    FakeInstance, HistoryWorld, MAX_INSTANCES, SERVERS, incarnation_of, timing,
};
use geraniummast_routing::*;
use rand::RngExt;

impl HistoryWorld {
    /// Draws a fault of an instance or a server.
    pub(crate) fn inject_faults(&mut self) {
        let index = self.rng.random_range(0..self.instances.len());
        let until = self.now + self.random_between(500, 12_000);
        match self.rng.random_range(0..1_000) {
            0..4 => self.instances[index].paused_until = until,
            4..8 => self.instances[index].store_cut_until = until,
            8..11 => {
                let restart_at = self.now + self.random_between(300, 4_000);
                self.instances[index].restart_at = Some(restart_at);
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
    }

    /// Restarts the instances whose time has come.
    pub(crate) fn restart_instances(&mut self) {
        for index in 0..self.instances.len() {
            if self.instances[index]
                .restart_at
                .is_some_and(|at| at <= self.now)
            {
                let before = self.instances[index].leader.own_incarnation().incarnation;
                self.instances[index] = FakeInstance {
                    era: 0,
                    leader: KeyLeader::new(
                        incarnation_of(index, before + 1),
                        timing(&self.parameters),
                    ),
                    paused_until: 0,
                    store_cut_until: 0,
                    restart_at: None,
                    planned_at: 0,
                    confirmed_at: 0,
                    started_at: self.now,
                    peers_cut_until: 0,
                    links_cut_until: vec![0; SERVERS.len()],
                    heard: vec![(0, 0); MAX_INSTANCES],
                    known_born: self.servers.iter().map(|server| server.born).collect(),
                    connections: vec![None; SERVERS.len()],
                    sent_fences: vec![SentFences::default(); SERVERS.len()],
                    suspect_until: vec![0; SERVERS.len()],
                    health: vec![(1, OrderHealth::default()); SERVERS.len()],
                };
            }
        }
    }
}
