//! The platform's balancer, as callers see it.

use crate::prelude::*;
use rand::{RngExt, seq::IndexedRandom};

/// Instances that callers may be sent to.
#[derive(Default)]
pub struct InstanceDirectory {
    entries: Mutex<Vec<DirectoryEntry>>,
}

/// One instance.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryEntry {
    /// Address for callers.
    pub address: SocketAddr,
    /// Whether the balancer sends callers there.
    pub listed: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

impl InstanceDirectory {
    /// Sets the entry `index`.
    pub fn set(&self, index: usize, entry: DirectoryEntry) {
        let mut entries = self.entries.lock().unwrap();
        match entries.get_mut(index) {
            Some(slot) => *slot = entry,
            None => entries.push(entry),
        }
    }

    /// Changes the entry `index`.
    pub fn change(&self, index: usize, change: impl FnOnce(&mut DirectoryEntry)) {
        change(&mut self.entries.lock().unwrap()[index]);
    }

    /// Whether a planned stop of the instance at `address` has begun.
    pub fn is_stopping(&self, address: SocketAddr) -> bool {
        let entries = self.entries.lock().unwrap();
        let mut entries = entries.iter();
        entries.any(|entry| entry.address == address && entry.stopping)
    }

    /// Whether callers are sent to `address`.
    pub fn is_listed(&self, address: SocketAddr) -> bool {
        let entries = self.entries.lock().unwrap();
        let mut entries = entries.iter();
        entries.any(|entry| entry.address == address && entry.listed && !entry.stopping)
    }

    /// A random listed instance, another than `avoid` where there is one.
    pub fn pick(&self, avoid: Option<SocketAddr>) -> Option<SocketAddr> {
        let entries = self.entries.lock().unwrap();
        let listed: Vec<_> = entries.iter().filter(|entry| entry.listed).collect();
        let mut rng = rand::rng();
        let start = rng.random_range(0..listed.len().max(1));
        let other = |entry: &&&DirectoryEntry| Some(entry.address) != avoid;
        let others: Vec<_> = listed.iter().filter(other).collect();
        match others.choose(&mut rng) {
            Some(entry) => Some(entry.address),
            None => listed.get(start).map(|entry| entry.address),
        }
    }
}
