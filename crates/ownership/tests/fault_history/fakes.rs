//! Fakes of an instance around the real decisions, and of a server.

use crate::prelude::*;

pub(crate) struct FakeInstance {
    pub(crate) id: InstanceId,
    pub(crate) elector: Option<LeaderElector>,
    pub(crate) led: Option<LedPart>,
    pub(crate) alive: bool,
    pub(crate) paused_until: MonoTime,
    pub(crate) island: u8,
    pub(crate) offset: u64,
    pub(crate) write: Option<(PartRecord, MonoTime)>,
    pub(crate) inbox: Vec<Message>,
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
    pub(crate) frozen_until: MonoTime,
    pub(crate) offset: u64,
    pub(crate) grant: Option<HeldGrant>,
    pub(crate) highest: FenceToken,
    pub(crate) inbox: Vec<Message>,
}

impl FakeServer {
    pub(crate) fn take(&mut self, order: HeldGrant, clock: MonoTime) -> bool {
        if order.not_after <= clock || (self.checks_fences && order.fence < self.highest) {
            return false;
        }
        self.highest = self.highest.max(order.fence);
        self.grant = Some(order);
        true
    }
}
