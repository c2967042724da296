//! Pulling of changes from a parent instance.
//!
//! Each instance always has one pull open, watchers too, so that the loss of the store or of a
//! parent is heard of within one wait.

use crate::{feed_tree::FeedPlace, prelude::*, store_watcher};

/// Longest wait of one pull.
const PULL_WAIT: Duration = Duration::from_millis(500);
/// Time beyond the wait after which a parent counts as silent.
const PULL_GRACE: Duration = Duration::from_millis(300);
/// Pause while there is nobody to pull from.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// Pause before another parent is asked for what a peer is known to know.
const HINT_PAUSE: Duration = Duration::from_millis(20);
/// Parents asked at once for one hint.
const MAX_HINTED_PULLS: usize = 4;

/// Where an instance stands in the tree.
#[derive(Clone, Debug)]
pub(crate) struct FeedPosition {
    basis: PositionBasis,
    watches: bool,
    is_first: bool,
    parents: Vec<FeedParent>,
}

/// What a place was worked out from.
#[derive(Clone, Debug, PartialEq)]
struct PositionBasis {
    mark: CacheProgress,
    silent: Vec<String>,
}

/// A peer to pull from.
#[derive(Clone, Debug)]
struct FeedParent {
    name: String,
    address: SocketAddr,
}

/// How a pull ended.
enum PullStep {
    Heard,
    Silent,
    Hinted,
}

/// Pulls until the pool stops.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    let mut hinted = 0;
    loop {
        let parents = place(&node).parents;
        let Some(parent) = parents.get(hinted % parents.len().max(1)) else {
            Timer::after(IDLE_PAUSE).await;
            continue;
        };
        let wait = if hinted > 0 {
            Duration::ZERO
        } else {
            PULL_WAIT
        };
        match pull(&node, parent, wait).await {
            PullStep::Heard => {}
            PullStep::Hinted => {
                hinted = 1;
                continue;
            }
            PullStep::Silent => node.feed.silent_peer(&parent.name, node.clock.now()),
        }
        if hinted > 0 {
            hinted = match node.feed.hints.is_behind() && hinted < MAX_HINTED_PULLS {
                true => hinted + 1,
                false => 0,
            };
            Timer::after(HINT_PAUSE).await;
        }
    }
}

/// This instance's place, worked out anew only when an instance came, went or fell silent.
fn place(node: &InstanceNode) -> FeedPosition {
    let silent = node.feed.silent_peers(node.clock.now());
    let basis = PositionBasis {
        mark: node.feed.progress(),
        silent,
    };
    let mut known = node.feed.position.lock().unwrap();
    match &*known {
        Some(position) if position.basis == basis => position.clone(),
        _ => known.insert(work_out(node, basis)).clone(),
    }
}

fn work_out(node: &InstanceNode, basis: PositionBasis) -> FeedPosition {
    let instances = node.tables.instances.lock().unwrap();
    let known = instances
        .values()
        .filter(|record| record.id.name == node.id.name || !basis.silent.contains(&record.id.name));
    let ranked = RendezvousRank::order("change-feed", known, |record| &record.id.name);
    let rank = ranked.iter().position(|record| record.id == node.id);
    let Some(rank) = rank else {
        let others = ranked.iter().take(FeedPlace::WATCHERS);
        return FeedPosition {
            basis,
            watches: true,
            is_first: false,
            parents: others.map(|record| FeedParent::from(*record)).collect(),
        };
    };
    let place = FeedPlace::at(rank, ranked.len());
    let parents = place.parents.iter();
    FeedPosition {
        basis,
        watches: place.watches,
        is_first: rank == 0,
        parents: parents
            .map(|parent| FeedParent::from(ranked[*parent]))
            .collect(),
    }
}

/// Whether this instance watches the store by its place.
pub(crate) fn is_watcher(node: &InstanceNode) -> bool {
    place(node).watches
}

/// Whether this instance is the first to watch the store.
pub(crate) fn is_first_watcher(node: &InstanceNode) -> bool {
    place(node).is_first
}

async fn pull(node: &InstanceNode, parent: &FeedParent, wait: Duration) -> PullStep {
    let sent = node.clock.now();
    let call = async {
        match call(node, parent.address, node.feed.progress(), wait).await {
            Some(batch) => {
                node.feed.heard_peer(&parent.name, sent);
                node.feed.note_revision(&parent.name, batch.revision);
                take_in(node, batch);
                PullStep::Heard
            }
            None => PullStep::Silent,
        }
    };
    if wait.is_zero() {
        return call.await;
    }
    future::or(call, async {
        node.feed.hints.wait_raised().await;
        PullStep::Hinted
    })
    .await
}

/// Asks the peer at `address` for what it knows beyond `mark`.
pub(crate) async fn call(
    node: &InstanceNode,
    address: SocketAddr,
    mark: CacheProgress,
    wait: Duration,
) -> Option<FeedBatch> {
    let revision = node.tables.gate.lock().unwrap().revision();
    let body = PeerBody::FeedPull(FeedPull {
        complete: mark.complete.0,
        newest: mark.newest.0,
        wait_ms: wait.as_millis() as u64,
        instance: node.id.name.clone(),
        revision,
    });
    match node.peers.call(address, body, wait + PULL_GRACE).await {
        Ok(PeerBody::FeedBatch(batch)) => {
            let bytes = prost::Message::encoded_len(&batch) as u64;
            node.feed.bytes_in.fetch_add(bytes, Ordering::Relaxed);
            Some(batch)
        }
        _ => None,
    }
}

/// Answers a peer's pull.
pub(crate) async fn answer(node: &InstanceNode, pull: &FeedPull) -> FeedBatch {
    node.feed.note_revision(&pull.instance, pull.revision);
    let revision = || node.tables.gate.lock().unwrap().revision();
    let batch = node.feed.answer(pull, revision).await;
    let bytes = prost::Message::encoded_len(&batch) as u64;
    node.feed.bytes_out.fetch_add(bytes, Ordering::Relaxed);
    batch
}

fn take_in(node: &InstanceNode, wire: FeedBatch) {
    let snapshot = wire.snapshot;
    match WatchBatch::try_from(wire) {
        Ok(batch) => store_watcher::take_in(node, batch, snapshot),
        Err(error) => log::error!("batch of a peer dropped: {error}"),
    }
}

impl From<&InstanceRecord> for FeedParent {
    fn from(record: &InstanceRecord) -> Self {
        Self {
            name: record.id.name.clone(),
            address: record.peer_address,
        }
    }
}
