//! Keys that are granted to a server process.

use crate::prelude::*;

/// Grants and running requests of each key.
pub(crate) struct BackendKeys {
    states: Vec<KeyState>,
}

/// Grant of one key and the requests that use it.
#[derive(Clone, Copy, Default)]
pub(crate) struct KeyState {
    /// Highest fencing token of all grants and releases received.
    pub(crate) max_fence: u64,
    /// Fencing token of the latest accepted grant.
    pub(crate) fence: u64,
    pub(crate) valid_until: MonoTime,
    /// End of the latest accepted grant; a release does not change it.
    pub(crate) granted_until: MonoTime,
    /// Number of requests in progress on the key.
    pub(crate) running: u32,
    /// Whether the grant arrived while grants may be delayed, which exempts it from the ownership
    /// checks.
    pub(crate) may_be_delayed: bool,
}

impl BackendKeys {
    /// Factor by which a server may exceed the duration of a grant: its clock may run up to 2%
    /// slow.
    const CLOCK_SLACK_FACTOR: f64 = 1.02;

    pub(crate) fn new() -> Self {
        Self {
            states: vec![KeyState::default(); 1 << 16],
        }
    }

    pub(crate) fn state(&self, key: u16) -> KeyState {
        self.states[usize::from(key)]
    }

    fn range_mut(&mut self, order: &KeyOrder) -> &mut [KeyState] {
        &mut self.states[usize::from(order.first)..=usize::from(order.last)]
    }

    /// Accepts a grant, unless a higher fencing token was received for one of its keys.
    pub(crate) fn grant(&mut self, order: &KeyOrder, now: MonoTime, may_be_delayed: bool) -> bool {
        let states = self.range_mut(order);
        if states.iter().any(|state| state.max_fence > order.fence) {
            return false;
        }
        let valid_until = now.after(Duration::from_secs_f64(
            order.grant_duration_s * Self::CLOCK_SLACK_FACTOR,
        ));
        for state in states {
            state.max_fence = order.fence;
            state.fence = order.fence;
            state.valid_until = valid_until;
            state.granted_until = valid_until;
            state.may_be_delayed = may_be_delayed;
        }
        true
    }

    /// Releases a range of keys, so that no new request may use them.
    pub(crate) fn release(&mut self, order: &KeyOrder) {
        for state in self.range_mut(order) {
            state.max_fence = state.max_fence.max(order.fence);
            state.valid_until = MonoTime::default();
        }
    }

    /// Whether a request is in progress on any key of a range.
    pub(crate) fn is_busy(&mut self, order: &KeyOrder) -> bool {
        self.range_mut(order).iter().any(|state| state.running > 0)
    }

    /// Returns the fencing token of the grant of a key, if the grant is valid at `now`.
    pub(crate) fn valid_fence(&self, key: u16, now: MonoTime) -> Option<u64> {
        let state = self.state(key);
        (now < state.valid_until).then_some(state.fence)
    }

    /// Adds `change` to the number of requests in progress on a key.
    pub(crate) fn adjust_running(&mut self, key: u16, change: i32) {
        let state = &mut self.states[usize::from(key)];
        state.running = state.running.saturating_add_signed(change);
    }
}
