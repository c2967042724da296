//! Learning the store's objects from another instance.

use crate::{
    feed_server::{FeedFrames, frames},
    feed_wire::{AskWire, FeedAsk, ReplyWire},
    object_mirror::{DeltaNews, MirrorDelta},
    prelude::*,
    update_router,
};
use futures_lite::StreamExt;
use futures_util::SinkExt;

/// Longest time until an answer.
const PULL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a failed question.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time that a watching instance gives its own watch before it asks another one.
const WATCH_LAG: Duration = Duration::from_millis(200);
/// Time between questions to the seeds.
const SEED_PAUSE: Duration = Duration::from_millis(250);

/// The connection of the last answer.
struct OpenFeed {
    address: SocketAddr,
    frames: FeedFrames,
}

/// Asks whoever tells newer revisions.
pub(crate) async fn poll_peers(node: Arc<GatewayNode>) {
    let mut open: Option<OpenFeed> = None;
    let mut avoided = None;
    loop {
        let behind = node.heartbeat_received.listen();
        let newest = node.mirror.lock().unwrap().newest();
        let source = node
            .peers
            .lock()
            .unwrap()
            .newer_source(newest, avoided, node.now());
        let Some((address, since)) = source else {
            behind.await;
            continue;
        };
        let now = node.now();
        let leads = node.is_leading();
        let is_watching = node.peers.lock().unwrap().should_watch(leads, now);
        if is_watching && !node.store.health.is_unavailable() && now.since(since) < WATCH_LAG {
            Timer::after(WATCH_LAG / 4).await;
            continue;
        }
        match pull(&node, &mut open, address).await {
            Some(changed) => {
                if changed && is_watching {
                    node.watch_restart_due.notify(usize::MAX);
                }
            }
            None => {
                open = None;
                avoided = Some(address);
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Asks the seeds right after the start, and as long as the store has told nothing.
pub(crate) async fn poll_seeds(node: Arc<GatewayNode>) {
    if !node.settings.asks_seeds() {
        return;
    }
    let seeds = &node.settings.seed_addresses;
    let mut open = None;
    let mut turn = rand::random_range(0..seeds.len());
    loop {
        let answer = pull(&node, &mut open, seeds[turn % seeds.len()]).await;
        node.is_seed_reachable
            .store(answer.is_some(), Ordering::Relaxed);
        if answer.is_none() {
            turn += 1;
        }
        let known = node.mirror.lock().unwrap().complete();
        if !node.is_recently_started() && known[..2].iter().all(|revision| *revision > 0) {
            return;
        }
        Timer::after(SEED_PAUSE).await;
    }
}

/// Asks one instance; tells whether the answer brought a change, none without a whole answer.
async fn pull(
    node: &Arc<GatewayNode>,
    open: &mut Option<OpenFeed>,
    address: SocketAddr,
) -> Option<bool> {
    let ask = {
        let mirror = node.mirror.lock().unwrap();
        FeedAsk {
            complete: mirror.complete(),
            newest: mirror.newest(),
        }
    };
    let late = async {
        Timer::after(PULL_TIMEOUT).await;
        None
    };
    let deltas = future::or(exchange(open, address, ask), late).await?;
    let (mut changed, mut is_partial) = (false, false);
    for delta in deltas {
        let (kind, newest) = (delta.kind, delta.newest);
        let news = {
            let mut mirror = node.mirror.lock().unwrap();
            let news = mirror.news_of(delta);
            if let DeltaNews::Whole(_) | DeltaNews::Known = news {
                mirror.saw_newest(kind, newest);
            }
            news
        };
        match news {
            DeltaNews::Whole(news) => {
                changed = true;
                update_router::apply(node, kind, news);
            }
            DeltaNews::Known => {}
            DeltaNews::Partial => is_partial = true,
        }
    }
    // The other one left out what it took for known here: its next answer may be whole.
    (!is_partial).then_some(changed)
}

async fn exchange(
    open: &mut Option<OpenFeed>,
    address: SocketAddr,
    ask: FeedAsk,
) -> Option<Vec<MirrorDelta>> {
    if open.as_ref().is_none_or(|open| open.address != address) {
        let stream = async_net::TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        *open = Some(OpenFeed {
            address,
            frames: frames(stream),
        });
    }
    let frames = &mut open.as_mut()?.frames;
    let frame = prost::Message::encode_to_vec(&AskWire::from(ask));
    frames.send(Bytes::from(frame)).await.ok()?;
    let reply = frames.next().await?.ok()?;
    let wire = <ReplyWire as prost::Message>::decode(reply.freeze()).ok()?;
    wire.try_into().ok()
}
