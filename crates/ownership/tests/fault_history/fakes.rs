//! Simulated instances, which run the real election and grants, and simulated servers.

use crate::prelude::*;

pub(crate) struct FakeInstance {
    pub(crate) id: InstanceId,
    pub(crate) elector: Option<LeaderElector>,
    pub(crate) led: Option<LedPart>,
    pub(crate) alive: bool,
    pub(crate) paused_until: MonoTime,
    pub(crate) partition: u8,
    pub(crate) clock_offset: u64,
    pub(crate) pending_write: Option<(PartRecord, MonoTime)>,
    pub(crate) inbox: Vec<FleetMessage>,
    pub(crate) next_tick: MonoTime,
}

#[derive(Clone)]
pub(crate) struct HeldGrant {
    pub(crate) fence: FenceToken,
    pub(crate) ranges: Vec<SliceRange>,
    pub(crate) not_after: MonoTime,
}

pub(crate) struct FakeServer {
    pub(crate) name: ServerName,
    pub(crate) checks_fences: bool,
    pub(crate) alive: bool,
    pub(crate) paused_until: MonoTime,
    pub(crate) clock_offset: u64,
    pub(crate) grant: Option<HeldGrant>,
    pub(crate) highest_fence: FenceToken,
    pub(crate) inbox: Vec<FleetMessage>,
}

impl FakeServer {
    /// Accepts a grant unless it has expired or, if the server checks fences, its fence is too low.
    pub(crate) fn accept(&mut self, order: HeldGrant, clock: MonoTime) -> bool {
        if order.not_after <= clock || (self.checks_fences && order.fence < self.highest_fence) {
            return false;
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        self.grant = Some(order);
        true
    }
}
