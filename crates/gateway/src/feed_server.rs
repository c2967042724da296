//! Handing the store's objects on to instances that ask.

use crate::{
    feed_wire::{AskWire, FeedAsk, ReplyWire},
    prelude::*,
};
use async_net::{TcpListener, TcpStream};
use futures_lite::StreamExt;
use futures_util::SinkExt;
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    compat::FuturesAsyncReadCompatExt,
};

/// Largest frame, in bytes: the configuration is at most one value of the store.
pub(crate) const MAX_FRAME_BYTES: usize = 8 << 20;
/// Time after which a connection without a question is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Connections open at once.
const MAX_CONNECTIONS: usize = 512;

/// Frames on one connection between instances.
pub(crate) type FeedFrames = Framed<tokio_util::compat::Compat<TcpStream>, LengthDelimitedCodec>;

/// Frames on a new connection.
pub(crate) fn frames(stream: TcpStream) -> FeedFrames {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    Framed::new(stream.compat(), codec)
}

/// Answers questions until the pool stops.
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
        let asked = node.clone();
        node.workers.spawn(async move {
            answer_all(&asked, frames(stream)).await;
            drop(guard);
        });
    }
}

async fn answer_all(node: &GatewayNode, mut frames: FeedFrames) {
    loop {
        let idle = async {
            Timer::after(IDLE_TIMEOUT).await;
            None
        };
        let Some(Ok(frame)) = future::or(frames.next(), idle).await else {
            return;
        };
        let ask = <AskWire as prost::Message>::decode(frame.freeze())
            .ok()
            .and_then(|wire| FeedAsk::try_from(wire).ok());
        let Some(ask) = ask else {
            if node.log.allow("feed", node.now()) {
                log::warn!("question of another instance cannot be read");
            }
            return;
        };
        let deltas = node.mirror.lock().unwrap().deltas(ask.complete, ask.newest);
        let reply = prost::Message::encode_to_vec(&ReplyWire::from(deltas));
        if frames.send(Bytes::from(reply)).await.is_err() {
            return;
        }
    }
}
