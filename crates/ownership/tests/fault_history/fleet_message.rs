//! Messages between the simulated instances, servers and store.

use crate::prelude::*;

/// A message to an instance or a server; votes carry the time at which their request was sent.
#[derive(Clone)]
pub(crate) enum FleetMessage {
    VoteRequest(VoteRequest, MonoTime),
    VoteReply(Box<(VoteRequest, VoteReply)>, MonoTime),
    VoteRelease(VoteRelease),
    Grant {
        from: usize,
        number: u64,
        fence: FenceToken,
        ranges: Vec<SliceRange>,
        not_after: MonoTime,
    },
    GrantReply {
        server: usize,
        number: u64,
        accepted: bool,
        clock: MonoTime,
    },
    ReadClock {
        from: usize,
    },
    Record(PartRecord),
}

/// A message in transit, delivered to `to` at `due`.
pub(crate) struct MessageEnvelope {
    pub(crate) due: MonoTime,
    pub(crate) to: usize,
    pub(crate) message: FleetMessage,
}
