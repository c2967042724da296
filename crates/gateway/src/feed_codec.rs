//! Frames on the connections of the feed, with a bound for each direction.
//!
//! A request is a few hundred bytes long, a reply contains objects of the store. Without a bound of
//! their own, requests could make an instance buffer as much for each connection as replies need.

use bytes::{Bytes, BytesMut};
use geraniummast_net::TransferProgress;
use std::io;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest reply, in bytes: enough for the configuration, which is one value of the store.
pub(crate) const MAX_REPLY_BYTES: usize = 8 << 20;
/// Largest request, in bytes: a hundred times what this build sends, for fields of later ones.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// Length-delimited frames with different bounds for those received and sent.
#[derive(Debug)]
pub(crate) struct FeedCodec {
    received: LengthDelimitedCodec,
    sent: LengthDelimitedCodec,
    progress: TransferProgress,
}

impl FeedCodec {
    /// Codec of the side that receives requests.
    pub(crate) fn server() -> Self {
        Self::new(MAX_REQUEST_BYTES, MAX_REPLY_BYTES)
    }

    /// Codec of the side that sends requests.
    pub(crate) fn client() -> Self {
        Self::new(MAX_REPLY_BYTES, MAX_REQUEST_BYTES)
    }

    fn new(max_received: usize, max_sent: usize) -> Self {
        let codec = |max| {
            LengthDelimitedCodec::builder()
                .max_frame_length(max)
                .new_codec()
        };
        Self {
            received: codec(max_received),
            sent: codec(max_sent),
            progress: TransferProgress::default(),
        }
    }

    /// Records in `progress` how much of the next frame has arrived.
    pub(crate) fn report_to(&mut self, progress: TransferProgress) {
        self.progress = progress;
    }
}

impl Decoder for FeedCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        self.progress.record(buffer.len());
        self.received.decode(buffer)
    }
}

impl Encoder<Bytes> for FeedCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, buffer: &mut BytesMut) -> io::Result<()> {
        self.sent.encode(frame, buffer)
    }
}
