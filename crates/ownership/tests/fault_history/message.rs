//! Messages on their way between fakes.

use crate::prelude::*;

/// A message on its way.
#[derive(Clone)]
pub(crate) enum Message {
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

pub(crate) struct Envelope {
    pub(crate) due: MonoTime,
    pub(crate) to: usize,
    pub(crate) message: Message,
}
