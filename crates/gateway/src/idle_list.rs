//! Connections that wait to be used again.

use crate::prelude::*;

/// Idle connections to one address, each with the time until which it may be used.
pub(crate) struct IdleList<T> {
    links: Mutex<Vec<(T, MonoTime)>>,
    is_open: fn(&T) -> bool,
}

impl<T> IdleList<T> {
    /// Empty list; `is_open` tells whether a connection can still be used.
    pub(crate) fn new(is_open: fn(&T) -> bool) -> Self {
        Self {
            links: Mutex::default(),
            is_open,
        }
    }

    /// Keeps an open connection until `until`, unless `limit` are kept.
    pub(crate) fn keep(&self, link: T, until: MonoTime, limit: usize) {
        let mut links = self.links.lock().unwrap();
        if (self.is_open)(&link) && links.len() < limit {
            links.push((link, until));
        }
    }

    /// Takes the connection that was kept last and can be used; closes those that cannot on the way.
    pub(crate) fn take(&self, now: MonoTime) -> Option<T> {
        let mut links = self.links.lock().unwrap();
        std::iter::from_fn(|| links.pop())
            .find(|(link, until)| (self.is_open)(link) && now < *until)
            .map(|(link, _)| link)
    }

    /// Closes connections that cannot be used any more.
    pub(crate) fn close_expired(&self, now: MonoTime) {
        let mut links = self.links.lock().unwrap();
        links.retain(|(link, until)| (self.is_open)(link) && now < *until);
    }

    /// Closes all.
    pub(crate) fn clear(&self) {
        self.links.lock().unwrap().clear();
    }
}
