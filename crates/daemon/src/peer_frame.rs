//! Frames on the connections between instances.

use crate::prelude::*;

/// One frame of a connection between two instances.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PeerFrame {
    /// Number of the call; its reply carries the same number.
    #[prost(uint64, tag = "1")]
    pub(crate) call: u64,
    #[prost(
        oneof = "PeerBody",
        tags = "2, 3, 4, 5, 6, 7, 20, 21, 22, 23, 24, 30, 31"
    )]
    pub(crate) body: Option<PeerBody>,
    /// Latest version of the store's objects that the sender knows.
    #[prost(uint64, tag = "15")]
    pub(crate) known_version: u64,
}

/// Content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum PeerBody {
    /// First frame from the accepting instance: random bytes.
    #[prost(bytes, tag = "2")]
    Challenge(Vec<u8>),
    /// First frame from the connecting instance: the keyed hash of the challenge.
    #[prost(bytes, tag = "3")]
    Proof(Vec<u8>),
    /// A caller's request, forwarded to the leader of its key's part.
    #[prost(message, tag = "4")]
    Forward(ForwardWire),
    /// The leader's answer to a forwarded request.
    #[prost(message, tag = "5")]
    ForwardReply(ForwardReplyWire),
    /// Requests for votes and releases of votes.
    #[prost(message, tag = "6")]
    VoteBatch(VoteBatchWire),
    /// Replies to requests for votes.
    #[prost(message, tag = "7")]
    VoteBatchReply(VoteBatchReplyWire),
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
    /// Cancels the call of the same number.
    #[prost(message, tag = "24")]
    Cancel(CancelWire),
    /// Request for changes of the store's objects.
    #[prost(message, tag = "30")]
    FeedPull(FeedPull),
    /// Changes of the store's objects.
    #[prost(message, tag = "31")]
    FeedBatch(FeedBatch),
}

/// Notice that the sender no longer waits for the reply to a call.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct CancelWire {}

impl PeerFrame {
    /// Returns the frame of a call or of its reply.
    pub(crate) fn new(call: u64, body: PeerBody) -> Self {
        Self {
            call,
            body: Some(body),
            known_version: 0,
        }
    }

    /// Returns a codec for length-prefixed frames of at most `max_bytes`.
    pub(crate) fn codec(max_bytes: usize) -> tokio_util::codec::LengthDelimitedCodec {
        tokio_util::codec::LengthDelimitedCodec::builder()
            .max_frame_length(max_bytes)
            .new_codec()
    }

    /// Returns the frame with `known_version` as the latest version that the sender knows.
    pub(crate) fn with_known_version(self, known_version: u64) -> Self {
        Self {
            known_version,
            ..self
        }
    }

    /// Encodes the frame without its length prefix.
    pub(crate) fn to_bytes(&self) -> Bytes {
        prost::Message::encode_to_vec(self).into()
    }

    /// Decodes a frame without its length prefix.
    pub(crate) fn from_bytes(bytes: &[u8]) -> io::Result<Self> {
        prost::Message::decode(bytes).map_err(io::Error::other)
    }
}
