//! A server that takes grants and releases as the platform's servers do.

use geraniummast_routing::ServerIncarnation;
use std::collections::BTreeMap;

/// Keys are followed in blocks of this size.
pub(crate) const BLOCK: u32 = 2_048;
/// Blocks of keys.
pub(crate) const BLOCKS: usize = 32;

/// One server over its lives.
pub(crate) struct FakeServer {
    pub(crate) id: String,
    pub(crate) born: u64,
    pub(crate) is_up: bool,
    pub(crate) checks_fences: bool,
    /// Highest fence seen, and grant held, by block.
    blocks: BTreeMap<usize, HeldBlock>,
}

#[derive(Clone, Copy, Default)]
struct HeldBlock {
    seen: u64,
    fence: u64,
    until_ms: f64,
}

impl FakeServer {
    pub(crate) fn new(id: &str, checks_fences: bool) -> Self {
        Self {
            id: id.into(),
            born: 1,
            is_up: true,
            checks_fences,
            blocks: BTreeMap::new(),
        }
    }

    pub(crate) fn mark(&self) -> ServerIncarnation {
        ServerIncarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }

    /// Starts another life, which holds and knows nothing.
    pub(crate) fn restart(&mut self) {
        self.born += 1;
        self.is_up = true;
        self.blocks.clear();
    }

    /// Takes a grant that arrived at `arrived_ms`; its time runs from then, 2% slow.
    pub(crate) fn grant(
        &mut self,
        first: u16,
        last: u16,
        fence: u64,
        arrived_ms: f64,
        hold_ms: f64,
    ) -> bool {
        let blocks = blocks_of(first, last);
        let is_stale = |held: &HeldBlock| self.checks_fences && held.seen > fence;
        if blocks
            .clone()
            .any(|block| self.blocks.get(&block).is_some_and(is_stale))
        {
            return false;
        }
        for block in blocks {
            let held = self.blocks.entry(block).or_default();
            held.seen = held.seen.max(fence);
            held.fence = fence;
            held.until_ms = arrived_ms + hold_ms * 1.02;
        }
        true
    }

    /// Gives keys up.
    pub(crate) fn release(&mut self, first: u16, last: u16, fence: u64) {
        for block in blocks_of(first, last) {
            let held = self.blocks.entry(block).or_default();
            held.seen = held.seen.max(fence);
            held.until_ms = 0.0;
        }
    }

    /// Fence under which it holds a block now.
    pub(crate) fn holds(&self, block: usize, now_ms: f64) -> Option<u64> {
        let held = self.blocks.get(&block)?;
        (self.is_up && now_ms < held.until_ms).then_some(held.fence)
    }
}

/// Blocks whose first key lies in a range.
fn blocks_of(first: u16, last: u16) -> std::ops::Range<usize> {
    let start = u32::from(first).div_ceil(BLOCK) as usize;
    let end = (u32::from(last) / BLOCK) as usize + 1;
    start..end.max(start)
}
