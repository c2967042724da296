//! Serves the store's objects to other instances.

use crate::{
    feed_wire::{FeedReplyWire, FeedRequest, FeedRequestWire},
    prelude::*,
};
use async_net::{TcpListener, TcpStream};
use futures_lite::StreamExt;
use futures_util::SinkExt;
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    compat::FuturesAsyncReadCompatExt,
};

/// Largest frame, in bytes: enough for the configuration, which is one value of the store.
pub(crate) const MAX_FRAME_BYTES: usize = 8 << 20;
/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest number of connections open at once.
const MAX_CONNECTIONS: usize = 512;

/// Length-delimited frames on one connection between instances.
pub(crate) type FeedFrames = Framed<tokio_util::compat::Compat<TcpStream>, LengthDelimitedCodec>;

/// Wraps a new connection in the frame codec.
pub(crate) fn frame_stream(stream: TcpStream) -> FeedFrames {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    Framed::new(stream.compat(), codec)
}

/// Accepts connections and serves feed requests until the worker pool stops.
pub(crate) async fn serve(node: Arc<GatewayNode>, listener: TcpListener) {
    let connections: Arc<OpenConnections> = Arc::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let Some(guard) = connections.admit(MAX_CONNECTIONS) else {
            continue;
        };
        let task_node = node.clone();
        node.workers.spawn(async move {
            serve_connection(&task_node, frame_stream(stream)).await;
            drop(guard);
        });
    }
}

/// Encodes what the sender of a request lacks.
fn reply_to(node: &GatewayNode, request: FeedRequest) -> Bytes {
    let now = node.now();
    let era = node.store.era();
    let request = request.assume_era(era.number);
    let mirror = node.mirror.lock();
    let (objects, is_current) = node.feed_replies.lock().encode(&mirror, request, now);
    drop(mirror);
    let mut tail = FeedReplyWire::from(Vec::new());
    tail.era = Some(era.into());
    tail.knows_evacuations = node.takes_evacuations() && node.knows_evacuations();
    if is_current {
        let report = node.knowledge.lock().report(now);
        tail.knowledge = Some(report.into());
    }
    // Encoded messages one after the other are one message with the fields of both.
    let mut reply = objects.to_vec();
    prost::Message::encode(&tail, &mut reply).map_or(objects, |()| Bytes::from(reply))
}

async fn serve_connection(node: &GatewayNode, mut frames: FeedFrames) {
    loop {
        let idle = async {
            Timer::after(IDLE_TIMEOUT).await;
            None
        };
        let Some(Ok(frame)) = future::or(frames.next(), idle).await else {
            return;
        };
        let request = <FeedRequestWire as prost::Message>::decode(frame.freeze())
            .ok()
            .and_then(|wire| FeedRequest::try_from(wire).ok());
        let Some(request) = request else {
            if node.log.allow("feed", node.now()) {
                log::warn!("cannot decode feed request of another instance");
            }
            return;
        };
        if frames.send(reply_to(node, request)).await.is_err() {
            return;
        }
    }
}
