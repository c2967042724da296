//! Keys that one life of a server holds.

use crate::prelude::*;

/// State of each key.
pub(crate) struct BackendKeys {
    cells: Vec<KeyState>,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct KeyState {
    /// Highest fence seen, by grants and releases.
    pub(crate) seen: u64,
    /// Fence of the grant that holds.
    pub(crate) fence: u64,
    pub(crate) until: MonoTime,
    /// Requests at work on the key.
    pub(crate) running: u32,
    /// Whether the grant came while late ones are excused.
    pub(crate) is_excused: bool,
}

impl BackendKeys {
    /// Share by which a server's clock may run slow (page on keys: 2%).
    const SLOW_CLOCK: f64 = 1.02;

    pub(crate) fn new() -> Self {
        Self {
            cells: vec![KeyState::default(); 1 << 16],
        }
    }

    pub(crate) fn cell(&self, key: u16) -> KeyState {
        self.cells[usize::from(key)]
    }

    fn range(&mut self, order: &KeyOrder) -> &mut [KeyState] {
        &mut self.cells[usize::from(order.first)..=usize::from(order.last)]
    }

    /// Takes a grant, unless a higher fence was seen.
    pub(crate) fn grant(&mut self, order: &KeyOrder, now: MonoTime, is_excused: bool) -> bool {
        let cells = self.range(order);
        if cells.iter().any(|cell| cell.seen > order.fence) {
            return false;
        }
        let until = now.after(Duration::from_secs_f64(
            order.grant_duration_s * Self::SLOW_CLOCK,
        ));
        for cell in cells {
            cell.seen = order.fence;
            cell.fence = order.fence;
            cell.until = until;
            cell.is_excused = is_excused;
        }
        true
    }

    /// Stops new work on keys.
    pub(crate) fn release(&mut self, order: &KeyOrder) {
        for cell in self.range(order) {
            cell.seen = cell.seen.max(order.fence);
            cell.until = MonoTime::default();
        }
    }

    /// Whether work goes on in a range.
    pub(crate) fn is_busy(&mut self, order: &KeyOrder) -> bool {
        self.range(order).iter().any(|cell| cell.running > 0)
    }

    /// Fence under which a key is held now.
    pub(crate) fn held(&self, key: u16, now: MonoTime) -> Option<u64> {
        let cell = self.cell(key);
        (now < cell.until).then_some(cell.fence)
    }

    /// Counts a request on a key in or out.
    pub(crate) fn count(&mut self, key: u16, by: i32) {
        let cell = &mut self.cells[usize::from(key)];
        cell.running = cell.running.saturating_add_signed(by);
    }
}
