//! Fetches the store's objects from other instances.

use crate::{
    feed_connection::{self, FeedConnection, FeedExchange, FeedReply},
    feed_request::FeedRequest,
    mirror_delta::DeltaOutcome,
    prelude::*,
    update_router::{self, UpdateSource},
};

/// Longest time without a further byte of a reply.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed request.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time for which an instance that watches the store waits for its own watch before it asks a peer.
pub(crate) const OWN_WATCH_GRACE: Duration = Duration::from_millis(200);
/// Time between requests to the seeds.
pub(crate) const SEED_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Smallest reply that is logged, in bytes.
const LARGE_REPLY_BYTES: usize = 64 << 10;

/// Result of a request for updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// Updates were received and applied.
    Updated,
    /// The other instance knows nothing else.
    Unchanged,
    /// The reply lacks an object.
    Incomplete,
    /// Nothing more of the reply came for some time.
    TimedOut,
    /// The other instance was not reached, or its reply cannot be decoded.
    Lost,
}

impl UpdateOutcome {
    /// Label in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Updated => "updated",
            Self::Unchanged => "unchanged",
            Self::Incomplete => "incomplete",
            Self::TimedOut => "timed-out",
            Self::Lost => "lost",
        }
    }

    /// Whether the other instance has told all that it knows.
    pub(crate) fn is_answered(self) -> bool {
        matches!(self, Self::Updated | Self::Unchanged)
    }
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
        let outcome = request_updates(&node, &mut connection, address, REQUEST_TIMEOUT).await;
        if outcome == UpdateOutcome::Updated && is_watching {
            node.watch_restart_due.notify(usize::MAX);
        }
        if !outcome.is_answered() {
            connection = None;
            avoided = Some(address);
            Timer::after(RETRY_DELAY).await;
            ask_other(&node).await;
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
        let outcome = request_updates(&node, &mut connection, seed, REQUEST_TIMEOUT).await;
        let is_answered = outcome.is_answered();
        node.is_seed_reachable.store(is_answered, Ordering::Relaxed);
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

/// Requests updates from one instance and applies them.
pub(crate) async fn request_updates(
    node: &Arc<GatewayNode>,
    connection: &mut Option<FeedConnection>,
    address: SocketAddr,
    timeout: Duration,
) -> UpdateOutcome {
    let asked_at = node.now();
    let progress = TransferProgress::default();
    let request = FeedRequest::of_mirror(&node.mirror.lock(), node.takes_evacuations());
    let exchange = feed_connection::exchange(connection, address, request, &progress, timeout);
    let exchange = exchange.await;
    let waited = node.now().since(asked_at);
    let outcome = match exchange {
        FeedExchange::Replied(reply) => apply_reply(node, reply, asked_at),
        FeedExchange::TimedOut => UpdateOutcome::TimedOut,
        FeedExchange::Lost => UpdateOutcome::Lost,
    };
    metrics::counter!(FEED_REQUESTS, "result" => outcome.label()).increment(1);
    log_outcome(node, address, outcome, waited, progress.received_bytes());
    outcome
}

/// Logs a request that failed or had a large reply.
fn log_outcome(
    node: &GatewayNode,
    address: SocketAddr,
    outcome: UpdateOutcome,
    waited: Duration,
    received_bytes: usize,
) {
    let is_large = received_bytes >= LARGE_REPLY_BYTES;
    if outcome.is_answered() && !is_large || !node.log.allow("feed-request", node.now()) {
        return;
    }
    let source = address.to_string();
    let source = source.as_str();
    let waited_ms = waited.as_millis() as u64;
    let result = outcome.label();
    match outcome.is_answered() {
        true => log::info!(source, result, waited_ms, received_bytes; "large reply received"),
        false => log::warn!(source, result, waited_ms, received_bytes; "no updates received"),
    }
}

/// Applies a reply to a request that was sent at `asked_at`.
fn apply_reply(node: &Arc<GatewayNode>, reply: FeedReply, asked_at: MonoTime) -> UpdateOutcome {
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
        return UpdateOutcome::Incomplete;
    }
    let is_complete = reply.knows_evacuations || !node.takes_evacuations();
    if let Some(report) = reply.knowledge.filter(|_| is_complete) {
        node.knowledge.lock().confirm_from(report, asked_at);
    }
    match changed {
        true => UpdateOutcome::Updated,
        false => UpdateOutcome::Unchanged,
    }
}
