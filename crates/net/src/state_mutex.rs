//! Mutex whose state stays usable after a panic.
//!
//! A task that panics while it holds the lock leaves the state as it was at that point. The state
//! of an instance is changed in small steps, each of which leaves it valid, so the other tasks go
//! on with it: with a poisoned lock, one unexpected error would fail every later request.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Mutex that ignores panics of earlier holders.
#[derive(Debug, Default)]
pub struct StateMutex<T>(Mutex<T>);

impl<T> StateMutex<T> {
    /// Creates an unlocked mutex.
    pub fn new(state: T) -> Self {
        Self(Mutex::new(state))
    }

    /// Locks the mutex, waiting until it is free.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
