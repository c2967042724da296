//! Simulation of the platform's balancer, which selects instances for callers.

use crate::prelude::*;
use rand::{RngExt, seq::IndexedRandom};

/// Instances to which the balancer sends callers.
#[derive(Default)]
pub struct SimulatedBalancer {
    targets: Mutex<Vec<BalancerTarget>>,
}

/// State of one instance as the balancer sees it.
#[derive(Clone, Copy, Debug)]
pub struct BalancerTarget {
    /// Address for callers.
    pub address: SocketAddr,
    /// Whether the balancer sends callers to the instance.
    pub listed: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

impl SimulatedBalancer {
    /// Sets or appends the target `index`.
    pub fn set(&self, index: usize, target: BalancerTarget) {
        let mut targets = self.targets.lock().unwrap();
        match targets.get_mut(index) {
            Some(slot) => *slot = target,
            None => targets.push(target),
        }
    }

    /// Applies `change` to the target `index`.
    pub fn change(&self, index: usize, change: impl FnOnce(&mut BalancerTarget)) {
        change(&mut self.targets.lock().unwrap()[index]);
    }

    /// Whether a planned stop of the instance at `address` has begun.
    pub fn is_stopping(&self, address: SocketAddr) -> bool {
        let targets = self.targets.lock().unwrap();
        let mut targets = targets.iter();
        targets.any(|target| target.address == address && target.stopping)
    }

    /// Whether the instance at `address` gets callers and is not stopping.
    pub fn is_listed(&self, address: SocketAddr) -> bool {
        let targets = self.targets.lock().unwrap();
        let mut targets = targets.iter();
        targets.any(|target| target.address == address && target.listed && !target.stopping)
    }

    /// Selects a random listed instance, and not `avoid` unless it is the only one.
    pub fn select(&self, avoid: Option<SocketAddr>) -> Option<SocketAddr> {
        let targets = self.targets.lock().unwrap();
        let listed: Vec<_> = targets.iter().filter(|target| target.listed).collect();
        let mut rng = rand::rng();
        let start = rng.random_range(0..listed.len().max(1));
        let other = |target: &&&BalancerTarget| Some(target.address) != avoid;
        let others: Vec<_> = listed.iter().filter(other).collect();
        match others.choose(&mut rng) {
            Some(target) => Some(target.address),
            None => listed.get(start).map(|target| target.address),
        }
    }
}
