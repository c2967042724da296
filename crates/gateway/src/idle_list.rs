//! Idle connections kept for reuse.

use crate::prelude::*;

/// Idle connections to one address, each with the time at which it expires.
pub(crate) struct IdleList<T> {
    connections: StateMutex<Vec<(T, MonoTime)>>,
    is_open: fn(&T) -> bool,
}

impl<T> IdleList<T> {
    /// Creates an empty list; `is_open` reports whether a connection can still be used.
    pub(crate) fn new(is_open: fn(&T) -> bool) -> Self {
        Self {
            connections: StateMutex::default(),
            is_open,
        }
    }

    /// Keeps an open connection until `usable_until`; drops it if the list holds `limit` already.
    pub(crate) fn keep(&self, connection: T, usable_until: MonoTime, limit: usize) {
        let mut connections = self.connections.lock();
        if (self.is_open)(&connection) && connections.len() < limit {
            connections.push((connection, usable_until));
        }
    }

    /// Takes the most recently kept usable connection that `may_use` accepts; closes unusable ones that
    /// were kept later.
    pub(crate) fn take_where(&self, now: MonoTime, may_use: impl Fn(&T) -> bool) -> Option<T> {
        let mut connections = self.connections.lock();
        for index in (0..connections.len()).rev() {
            if !self.is_usable(&connections[index], now) {
                connections.remove(index);
            } else if may_use(&connections[index].0) {
                return Some(connections.remove(index).0);
            }
        }
        None
    }

    /// Takes the usable connection that was kept first of those that `may_use` accepts, or else of all;
    /// closes unusable ones.
    pub(crate) fn take_oldest(&self, now: MonoTime, may_use: impl Fn(&T) -> bool) -> Option<T> {
        let mut connections = self.connections.lock();
        connections.retain(|kept| self.is_usable(kept, now));
        let accepted = connections.iter().position(|kept| may_use(&kept.0));
        match connections.is_empty() {
            true => None,
            false => Some(connections.remove(accepted.unwrap_or_default()).0),
        }
    }

    /// Whether any connection can be used.
    pub(crate) fn has_usable(&self, now: MonoTime) -> bool {
        let connections = self.connections.lock();
        connections.iter().any(|kept| self.is_usable(kept, now))
    }

    /// Closes connections that have expired or broken.
    pub(crate) fn close_expired(&self, now: MonoTime) {
        let mut connections = self.connections.lock();
        connections.retain(|kept| self.is_usable(kept, now));
    }

    /// Closes all connections.
    pub(crate) fn clear(&self) {
        self.connections.lock().clear();
    }

    fn is_usable(&self, (connection, usable_until): &(T, MonoTime), now: MonoTime) -> bool {
        (self.is_open)(connection) && now < *usable_until
    }
}
