//! One connection to another instance, over which updates are requested.

use crate::{
    feed_codec::FeedCodec,
    feed_request::{FeedRequest, FeedRequestWire},
    feed_server::{FeedFrames, frame_stream},
    feed_wire::FeedReplyWire,
    mirror_delta::MirrorDelta,
    prelude::*,
};
use futures_lite::StreamExt;
use futures_util::SinkExt;

/// Connection to the peer that was asked last.
pub(crate) struct FeedConnection {
    address: SocketAddr,
    frames: FeedFrames,
}

/// What an instance answers to a request for updates.
pub(crate) struct FeedReply {
    pub(crate) deltas: Vec<MirrorDelta>,
    /// Age of what the instance knows.
    pub(crate) knowledge: Option<KnowledgeReport>,
    /// Era of the store that the instance knows.
    pub(crate) era: Option<StoreEra>,
    /// Whether its knowledge includes the evacuations.
    pub(crate) knows_evacuations: bool,
}

/// Result of one exchange.
pub(crate) enum FeedExchange {
    /// The complete reply.
    Replied(FeedReply),
    /// Nothing more of the reply came for some time.
    TimedOut,
    /// The instance was not reached, the connection ended, or the reply cannot be decoded.
    Lost,
}

/// Sends a request and reads the reply, over the connection if it is one to `address`, and otherwise
/// over a new one that replaces it. Gives up when nothing has arrived for `timeout`: a large reply on
/// a narrow link takes longer, and another one would take as long.
pub(crate) async fn exchange(
    connection: &mut Option<FeedConnection>,
    address: SocketAddr,
    request: FeedRequest,
    progress: &TransferProgress,
    timeout: Duration,
) -> FeedExchange {
    let timed_out = async {
        progress.stalled(timeout).await;
        FeedExchange::TimedOut
    };
    let reply = async {
        match receive(connection, address, request, progress).await {
            Some(reply) => FeedExchange::Replied(reply),
            None => FeedExchange::Lost,
        }
    };
    future::or(reply, timed_out).await
}

async fn receive(
    connection: &mut Option<FeedConnection>,
    address: SocketAddr,
    request: FeedRequest,
    progress: &TransferProgress,
) -> Option<FeedReply> {
    if connection
        .as_ref()
        .is_none_or(|connection| connection.address != address)
    {
        let stream = async_net::TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        *connection = Some(FeedConnection {
            address,
            frames: frame_stream(stream, FeedCodec::client()),
        });
    }
    let frames = &mut connection.as_mut()?.frames;
    frames.codec_mut().report_to(progress.clone());
    let frame = prost::Message::encode_to_vec(&FeedRequestWire::from(request));
    frames.send(Bytes::from(frame)).await.ok()?;
    let reply = frames.next().await?.ok()?;
    metrics::counter!(FEED_BYTES, "direction" => "received").increment(reply.len() as u64);
    let wire = <FeedReplyWire as prost::Message>::decode(reply.freeze()).ok()?;
    Some(FeedReply {
        knowledge: wire.knowledge.map(KnowledgeReport::from),
        era: wire.era.map(StoreEra::from),
        knows_evacuations: wire.knows_evacuations,
        deltas: wire.try_into().ok()?,
    })
}
