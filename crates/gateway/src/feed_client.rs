//! Fetches the store's objects from other instances.

use crate::{
    feed_codec::FeedCodec,
    feed_server::{FeedFrames, frame_stream},
    feed_wire::{FeedReplyWire, FeedRequest, FeedRequestWire},
    mirror_delta::{DeltaOutcome, MirrorDelta},
    prelude::*,
    update_router::{self, UpdateSource},
};
use futures_lite::StreamExt;
use futures_util::SinkExt;

/// Longest wait for a reply.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed request.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time for which an instance that watches the store waits for its own watch before it asks a peer.
pub(crate) const OWN_WATCH_GRACE: Duration = Duration::from_millis(200);
/// Time between requests to the seeds.
pub(crate) const SEED_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Connection to the peer that was asked last.
pub(crate) struct FeedConnection {
    address: SocketAddr,
    frames: FeedFrames,
}

/// What an instance answers to a request for updates.
struct FeedReply {
    deltas: Vec<MirrorDelta>,
    /// Age of what the instance knows.
    knowledge: Option<KnowledgeReport>,
    /// Era of the store that the instance knows.
    era: Option<StoreEra>,
    /// Whether its knowledge includes the evacuations.
    knows_evacuations: bool,
}

/// Requests updates from peers whose heartbeats report newer revisions.
pub(crate) async fn poll_peers(node: Arc<GatewayNode>) {
    let mut connection: Option<FeedConnection> = None;
    let mut avoided = None;
    loop {
        let heartbeat = node.heartbeat_received.listen();
        let latest = node.mirror.lock().latest_revisions();
        let source = node.peers.lock().newer_source(latest, avoided, node.now());
        let Some((address, since)) = source else {
            heartbeat.await;
            continue;
        };
        let now = node.now();
        let leads = node.is_leading();
        let is_watching = node.peers.lock().should_watch(leads, now);
        if is_watching && !node.store.health.is_unavailable() && now.since(since) < OWN_WATCH_GRACE
        {
            Timer::after(OWN_WATCH_GRACE / 4).await;
            continue;
        }
        match request_updates(&node, &mut connection, address, REQUEST_TIMEOUT).await {
            Some(changed) => {
                if changed && is_watching {
                    node.watch_restart_due.notify(usize::MAX);
                }
            }
            None => {
                connection = None;
                avoided = Some(address);
                Timer::after(RETRY_DELAY).await;
                ask_other(&node).await;
            }
        }
    }
}

/// Requests updates from an instance that may know them although it has not told so.
async fn ask_other(node: &Arc<GatewayNode>) {
    let address = node
        .peers
        .lock()
        .random_feed_address(&mut rand::rng(), node.now());
    if let Some(address) = address {
        // Without an answer the next turn asks the source again.
        request_updates(node, &mut None, address, REQUEST_TIMEOUT / 4).await;
    }
}

/// Requests updates from the seed instances during startup, and for longer if the servers or the
/// configuration are not known by then.
pub(crate) async fn poll_seeds(node: Arc<GatewayNode>) {
    if !node.settings.asks_seeds() {
        return;
    }
    let seeds = &node.settings.seed_addresses;
    let mut connection = None;
    let mut seed_index = rand::random_range(0..seeds.len());
    loop {
        let seed = seeds[seed_index % seeds.len()];
        let answer = request_updates(&node, &mut connection, seed, REQUEST_TIMEOUT).await;
        node.is_seed_reachable
            .store(answer.is_some(), Ordering::Relaxed);
        let is_answered = answer.is_some();
        if !is_answered {
            // A late reply must not be taken for that to the next request.
            connection = None;
            seed_index += 1;
        }
        let known = node.mirror.lock().synced_revisions();
        if !node.is_recently_started()
            && known[..2]
                .iter()
                .all(|revision| *revision > StoreRevision::ZERO)
        {
            return;
        }
        let pause = match is_answered {
            true => SEED_POLL_INTERVAL,
            false => RETRY_DELAY,
        };
        Timer::after(pause).await;
    }
}

/// Requests updates from one instance and applies them. Returns whether anything changed, or `None`
/// if the reply was missing or incomplete.
pub(crate) async fn request_updates(
    node: &Arc<GatewayNode>,
    connection: &mut Option<FeedConnection>,
    address: SocketAddr,
    timeout: Duration,
) -> Option<bool> {
    let request = {
        let mirror = node.mirror.lock();
        FeedRequest {
            synced_revisions: mirror.synced_revisions(),
            latest_revisions: mirror.latest_revisions(),
            takes_evacuations: node.takes_evacuations(),
        }
    };
    let timeout = async {
        Timer::after(timeout).await;
        None
    };
    let asked_at = node.now();
    let reply = future::or(exchange(connection, address, request), timeout).await?;
    if let Some(era) = reply.era {
        node.store.learn_era(era);
    }
    let (mut changed, mut is_incomplete) = (false, false);
    for mut delta in reply.deltas {
        delta.assume_era(node.store.era().number);
        let kind = delta.kind;
        let outcome = node.mirror.lock().take_over(delta);
        match outcome {
            DeltaOutcome::Update(update) => {
                changed = true;
                update_router::apply(node, kind, update, UpdateSource::Peer);
            }
            DeltaOutcome::UpToDate => {}
            DeltaOutcome::Incomplete => is_incomplete = true,
        }
    }
    if is_incomplete {
        // The peer left out an object because it assumed that this instance has it. A later reply
        // may be complete.
        return None;
    }
    let is_complete = reply.knows_evacuations || !node.takes_evacuations();
    if let Some(report) = reply.knowledge.filter(|_| is_complete) {
        node.knowledge.lock().confirm_from(report, asked_at);
    }
    Some(changed)
}

async fn exchange(
    connection: &mut Option<FeedConnection>,
    address: SocketAddr,
    request: FeedRequest,
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
    let frame = prost::Message::encode_to_vec(&FeedRequestWire::from(request));
    frames.send(Bytes::from(frame)).await.ok()?;
    let reply = frames.next().await?.ok()?;
    let wire = <FeedReplyWire as prost::Message>::decode(reply.freeze()).ok()?;
    Some(FeedReply {
        knowledge: wire.knowledge.map(KnowledgeReport::from),
        era: wire.era.map(StoreEra::from),
        knows_evacuations: wire.knows_evacuations,
        deltas: wire.try_into().ok()?,
    })
}
