//! Keys that one life of a server holds.

use crate::prelude::*;

/// State of each key.
pub(crate) struct BackendKeys {
    states: Vec<KeyState>,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct KeyState {
    /// Highest fence seen, by grants and releases.
    pub(crate) max_fence: u64,
    /// Fence of the grant that holds.
    pub(crate) fence: u64,
    pub(crate) valid_until: MonoTime,
    /// Requests at work on the key.
    pub(crate) running: u32,
    /// Whether the grant came while late ones are excused.
    pub(crate) may_be_delayed: bool,
}

impl BackendKeys {
    /// Share by which a server's clock may run slow (page on keys: 2%).
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

    /// Takes a grant, unless a higher fence was seen.
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
            state.may_be_delayed = may_be_delayed;
        }
        true
    }

    /// Stops new work on keys.
    pub(crate) fn release(&mut self, order: &KeyOrder) {
        for state in self.range_mut(order) {
            state.max_fence = state.max_fence.max(order.fence);
            state.valid_until = MonoTime::default();
        }
    }

    /// Whether work goes on in a range.
    pub(crate) fn is_busy(&mut self, order: &KeyOrder) -> bool {
        self.range_mut(order).iter().any(|state| state.running > 0)
    }

    /// Fence under which a key is held now.
    pub(crate) fn valid_fence(&self, key: u16, now: MonoTime) -> Option<u64> {
        let state = self.state(key);
        (now < state.valid_until).then_some(state.fence)
    }

    /// Counts a request on a key in or out.
    pub(crate) fn adjust_running(&mut self, key: u16, change: i32) {
        let state = &mut self.states[usize::from(key)];
        state.running = state.running.saturating_add_signed(change);
    }
}
