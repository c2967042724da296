//! Simulated server that accepts grants and releases like the platform's servers.

use geraniummast_routing::ServerIncarnation;
use std::collections::BTreeMap;

/// Number of keys in one block; ownership is tracked per block.
pub(crate) const BLOCK_KEYS: u32 = 2_048;
/// Number of blocks.
pub(crate) const BLOCKS: usize = 32;

/// One server, across its restarts.
pub(crate) struct FakeServer {
    pub(crate) id: String,
    pub(crate) born: u64,
    pub(crate) is_up: bool,
    pub(crate) checks_fences: bool,
    /// Time in milliseconds until which the server refuses new connections, although it works on.
    pub(crate) refuses_until: u64,
    /// Highest fence seen and current grant, by block.
    blocks: BTreeMap<usize, BlockGrant>,
}

#[derive(Clone, Copy, Default)]
struct BlockGrant {
    highest_fence: u64,
    fence: u64,
    valid_until_ms: f64,
}

impl FakeServer {
    pub(crate) fn new(id: &str, checks_fences: bool) -> Self {
        Self {
            id: id.into(),
            born: 1,
            is_up: true,
            checks_fences,
            refuses_until: 0,
            blocks: BTreeMap::new(),
        }
    }

    pub(crate) fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }

    /// Restarts the server under a new start time, without any grants or fences.
    pub(crate) fn restart(&mut self) {
        self.born += 1;
        self.is_up = true;
        self.blocks.clear();
    }

    /// Handles a grant that arrived at `arrived_ms`, returns whether it is accepted. Its validity
    /// counts from the arrival, on a clock that runs 2% slow.
    pub(crate) fn grant(
        &mut self,
        first: u16,
        last: u16,
        fence: u64,
        arrived_ms: f64,
        hold_ms: f64,
    ) -> bool {
        let blocks = blocks_of(first, last);
        let is_stale =
            |grant_state: &BlockGrant| self.checks_fences && grant_state.highest_fence > fence;
        if blocks
            .clone()
            .any(|block| self.blocks.get(&block).is_some_and(is_stale))
        {
            return false;
        }
        for block in blocks {
            let grant_state = self.blocks.entry(block).or_default();
            grant_state.highest_fence = grant_state.highest_fence.max(fence);
            grant_state.fence = fence;
            grant_state.valid_until_ms = arrived_ms + hold_ms * 1.02;
        }
        true
    }

    /// Releases keys.
    pub(crate) fn release(&mut self, first: u16, last: u16, fence: u64) {
        for block in blocks_of(first, last) {
            let grant_state = self.blocks.entry(block).or_default();
            grant_state.highest_fence = grant_state.highest_fence.max(fence);
            grant_state.valid_until_ms = 0.0;
        }
    }

    /// Fence under which the server holds a block now.
    pub(crate) fn held_fence(&self, block: usize, now_ms: f64) -> Option<u64> {
        let grant_state = self.blocks.get(&block)?;
        (self.is_up && now_ms < grant_state.valid_until_ms).then_some(grant_state.fence)
    }
}

/// Blocks whose first key lies in a range.
fn blocks_of(first: u16, last: u16) -> std::ops::Range<usize> {
    let start = u32::from(first).div_ceil(BLOCK_KEYS) as usize;
    let end = (u32::from(last) / BLOCK_KEYS) as usize + 1;
    start..end.max(start)
}
