//! Serves the store's objects to other instances.

use crate::{
    descriptor_plan::DescriptorPlan,
    feed_codec::FeedCodec,
    feed_request::{FeedRequest, FeedRequestWire},
    feed_wire::FeedReplyWire,
    listener_guard,
    prelude::*,
};
use async_net::{TcpListener, TcpStream};
use futures_lite::StreamExt;
use futures_util::SinkExt;
use std::io;
use tokio_util::{codec::Framed, compat::FuturesAsyncReadCompatExt};

/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a connection is closed whose peer has not read its reply. Peers wait for less
/// than a second and close the connection then.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Frames on one connection between instances.
pub(crate) type FeedFrames = Framed<tokio_util::compat::Compat<TcpStream>, FeedCodec>;

/// Wraps a new connection in the frame codec.
pub(crate) fn frame_stream(stream: TcpStream, codec: FeedCodec) -> FeedFrames {
    Framed::new(stream.compat(), codec)
}

/// Accepts connections and serves feed requests until the worker pool stops.
pub(crate) async fn serve(node: Arc<GatewayNode>, listener: TcpListener) {
    let connections: Arc<OpenConnections> = Arc::default();
    let max_connections = DescriptorPlan::from(&node.settings).feed;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let Some(guard) = connections.admit(max_connections) else {
            listener_guard::report(&node, "feed", ConnectionEvent::Refused);
            continue;
        };
        let task_node = node.clone();
        node.workers.spawn(async move {
            serve_connection(&task_node, frame_stream(stream, FeedCodec::server())).await;
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
    let mut state = FeedReplyWire::default();
    state.era = Some(era.into());
    state.knows_evacuations = node.takes_evacuations() && node.knows_evacuations();
    state.knowledge = is_current.then(|| node.knowledge.lock().report(now).into());
    state.append_to(&objects)
}

/// Sends a reply; returns `None` if the peer has not read it within `timeout`.
pub(crate) async fn send_within(
    frames: &mut FeedFrames,
    reply: Bytes,
    timeout: Duration,
) -> Option<io::Result<()>> {
    let unread = async {
        Timer::after(timeout).await;
        None
    };
    future::or(async { Some(frames.send(reply).await) }, unread).await
}

async fn serve_connection(node: &GatewayNode, mut frames: FeedFrames) {
    loop {
        let idle = async {
            Timer::after(IDLE_TIMEOUT).await;
            None
        };
        let Some(received) = future::or(frames.next(), idle).await else {
            return;
        };
        let request = match received {
            Ok(frame) => <FeedRequestWire as prost::Message>::decode(frame.freeze())
                .ok()
                .and_then(|wire| FeedRequest::try_from(wire).ok()),
            Err(error) if error.kind() == io::ErrorKind::InvalidData => None,
            Err(_) => return,
        };
        let Some(request) = request else {
            if node.log.allow("feed", node.now()) {
                log::warn!("cannot decode feed request of another instance");
            }
            return;
        };
        let reply = reply_to(node, request);
        metrics::counter!(FEED_BYTES, "direction" => "sent").increment(reply.len() as u64);
        match send_within(&mut frames, reply, REPLY_TIMEOUT).await {
            Some(Ok(())) => {}
            Some(Err(_)) => return,
            None => {
                let stalled = ConnectionEvent::Stalled(StallKind::Write);
                listener_guard::report(node, "feed", stalled);
                return;
            }
        }
    }
}
