//! Frames between instances.

use crate::prelude::*;

/// One frame; a reply carries the number of its call.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PeerFrame {
    #[prost(uint64, tag = "1")]
    pub(crate) call: u64,
    #[prost(
        oneof = "PeerBody",
        tags = "2, 3, 4, 5, 6, 7, 20, 21, 22, 23, 24, 30, 31"
    )]
    pub(crate) body: Option<PeerBody>,
    /// Latest version of the store's objects that the sender knows.
    #[prost(uint64, tag = "15")]
    pub(crate) known: u64,
}

/// Content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum PeerBody {
    /// First frame of the accepting side.
    #[prost(bytes, tag = "2")]
    Challenge(Vec<u8>),
    /// First frame of the dialling side.
    #[prost(bytes, tag = "3")]
    Proof(Vec<u8>),
    /// A request on its way to the leader.
    #[prost(message, tag = "4")]
    Forward(ForwardWire),
    /// The leader's answer.
    #[prost(message, tag = "5")]
    ForwardReply(ForwardReplyWire),
    /// Requests for votes.
    #[prost(message, tag = "6")]
    Lease(LeaseWire),
    /// Answers to requests for votes.
    #[prost(message, tag = "7")]
    LeaseReply(LeaseReplyWire),
    /// A leader's dedup entries for another member of the part.
    #[prost(message, tag = "20")]
    DedupUpdate(DedupUpdateWire),
    /// The member's answer.
    #[prost(message, tag = "21")]
    DedupUpdateReply(DedupUpdateReplyWire),
    /// A new leader's request for dedup entries.
    #[prost(message, tag = "22")]
    DedupPull(DedupPullWire),
    /// One page of dedup entries.
    #[prost(message, tag = "23")]
    DedupPage(DedupPageWire),
    /// The call of the same number is no longer waited for.
    #[prost(message, tag = "24")]
    Cancel(CancelWire),
    /// Asks for changes of the store's objects.
    #[prost(message, tag = "30")]
    FeedPull(FeedPull),
    /// Changes of the store's objects.
    #[prost(message, tag = "31")]
    FeedBatch(FeedBatch),
}

/// End of the caller's interest in a call.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct CancelWire {}

impl PeerFrame {
    /// Frame of a call or its reply.
    pub(crate) fn new(call: u64, body: PeerBody) -> Self {
        Self {
            call,
            body: Some(body),
            known: 0,
        }
    }

    /// Codec that delimits frames of at most `max_bytes` by their length.
    pub(crate) fn codec(max_bytes: usize) -> tokio_util::codec::LengthDelimitedCodec {
        tokio_util::codec::LengthDelimitedCodec::builder()
            .max_frame_length(max_bytes)
            .new_codec()
    }

    /// The frame with the latest version known here.
    pub(crate) fn knowing(self, known: u64) -> Self {
        Self { known, ..self }
    }

    /// Bytes of the frame.
    pub(crate) fn encoded(&self) -> Bytes {
        prost::Message::encode_to_vec(self).into()
    }

    /// Frame from its bytes.
    pub(crate) fn decoded(bytes: &[u8]) -> io::Result<Self> {
        prost::Message::decode(bytes).map_err(io::Error::other)
    }
}
