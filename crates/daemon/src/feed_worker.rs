//! Pulls changes of the store's objects from a parent instance.
//!
//! Every instance, also one that watches the store, always has one pull open. So it notices within
//! the wait of one pull that the store or a parent is unavailable.

use crate::{prelude::*, store_watcher, tree_position::TreePosition};

/// Time that a pull may wait at the parent for a change.
const PULL_WAIT: Duration = Duration::from_millis(500);
/// Time beyond the wait after which an unanswered pull has failed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which an instance without a parent looks for one.
const PARENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between two pulls for a version that a peer has announced.
const HINTED_PULL_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of pulls, each from the next parent, for one announced version.
const MAX_HINTED_PULLS: usize = 4;

/// Role of this instance in the feed: whether it watches the store, and its parents.
#[derive(Clone, Debug)]
pub(crate) struct FeedRole {
    inputs: RoleInputs,
    watches: bool,
    is_first_watcher: bool,
    parents: Vec<FeedParent>,
}

/// Inputs from which a role was computed; equal inputs give equal roles.
#[derive(Clone, Debug, PartialEq)]
struct RoleInputs {
    progress: CacheProgress,
    excluded: Vec<String>,
}

/// A peer to pull from.
#[derive(Clone, Debug)]
struct FeedParent {
    name: String,
    address: SocketAddr,
}

/// Outcome of a pull.
enum PullOutcome {
    /// The parent answered and its batch was applied.
    Answered,
    /// The parent did not answer.
    Unanswered,
    /// A peer announced a newer version meanwhile; the pull was cancelled.
    Interrupted,
}

/// Pulls changes until the worker pool stops.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    let mut hinted_pulls = 0;
    loop {
        let parents = current_role(&node).parents;
        let Some(parent) = parents.get(hinted_pulls % parents.len().max(1)) else {
            Timer::after(PARENT_CHECK_INTERVAL).await;
            continue;
        };
        let wait = if hinted_pulls > 0 {
            Duration::ZERO
        } else {
            PULL_WAIT
        };
        match pull(&node, parent, wait).await {
            PullOutcome::Answered => {}
            PullOutcome::Interrupted => {
                hinted_pulls = 1;
                continue;
            }
            PullOutcome::Unanswered => node.feed.exclude_peer(&parent.name, node.clock.now()),
        }
        if hinted_pulls > 0 {
            hinted_pulls = match node.feed.hints.is_behind() && hinted_pulls < MAX_HINTED_PULLS {
                true => hinted_pulls + 1,
                false => 0,
            };
            Timer::after(HINTED_PULL_DELAY).await;
        }
    }
}

/// Returns the role of this instance; computes it again only after the cache or the excluded peers
/// have changed.
fn current_role(node: &InstanceNode) -> FeedRole {
    let excluded = node.feed.excluded_peers(node.clock.now());
    let inputs = RoleInputs {
        progress: node.feed.progress(),
        excluded,
    };
    let mut role = node.feed.role.lock().unwrap();
    match &*role {
        Some(role) if role.inputs == inputs => role.clone(),
        _ => role.insert(compute_role(node, inputs)).clone(),
    }
}

/// Ranks the registered instances without the excluded ones and takes the role of this one's rank.
///
/// An instance that is not registered watches the store itself.
fn compute_role(node: &InstanceNode, inputs: RoleInputs) -> FeedRole {
    let instances = node.tables.instances.lock().unwrap();
    let candidates = instances.values().filter(|record| {
        record.id.name == node.id.name || !inputs.excluded.contains(&record.id.name)
    });
    let ranked = RendezvousRank::order("change-feed", candidates, |record| &record.id.name);
    let rank = ranked.iter().position(|record| record.id == node.id);
    let Some(rank) = rank else {
        let watchers = ranked.iter().take(TreePosition::WATCHERS);
        return FeedRole {
            inputs,
            watches: true,
            is_first_watcher: false,
            parents: watchers.map(|record| FeedParent::from(*record)).collect(),
        };
    };
    let position = TreePosition::at(rank, ranked.len());
    let parents = position.parents.iter();
    FeedRole {
        inputs,
        watches: position.watches,
        is_first_watcher: rank == 0,
        parents: parents
            .map(|parent| FeedParent::from(ranked[*parent]))
            .collect(),
    }
}

/// Returns whether this instance is one of those that watch the store.
pub(crate) fn is_watcher(node: &InstanceNode) -> bool {
    current_role(node).watches
}

/// Returns whether this instance has the first rank among those that watch the store.
pub(crate) fn is_first_watcher(node: &InstanceNode) -> bool {
    current_role(node).is_first_watcher
}

/// Pulls from `parent`; a pull with a wait ends early when a peer announces a newer version.
async fn pull(node: &InstanceNode, parent: &FeedParent, wait: Duration) -> PullOutcome {
    let sent_at = node.clock.now();
    let exchange = async {
        match pull_from(node, parent.address, node.feed.progress(), wait).await {
            Some(batch) => {
                node.feed.record_peer_answer(&parent.name, sent_at);
                node.feed.record_revision(&parent.name, batch.revision);
                apply_batch(node, batch);
                PullOutcome::Answered
            }
            None => PullOutcome::Unanswered,
        }
    };
    if wait.is_zero() {
        return exchange.await;
    }
    future::or(exchange, async {
        node.feed.hints.wait_for_newer().await;
        PullOutcome::Interrupted
    })
    .await
}

/// Asks the peer at `address` for the changes after `progress`; returns nothing if it fails.
pub(crate) async fn pull_from(
    node: &InstanceNode,
    address: SocketAddr,
    progress: CacheProgress,
    wait: Duration,
) -> Option<FeedBatch> {
    let revision = node.tables.gate.lock().unwrap().revision();
    let body = PeerBody::FeedPull(FeedPull {
        complete: progress.complete.0,
        newest: progress.newest.0,
        wait_ms: wait.as_millis() as u64,
        instance: node.id.name.clone(),
        revision,
    });
    match node.peers.call(address, body, wait + ANSWER_TIMEOUT).await {
        Ok(PeerBody::FeedBatch(batch)) => {
            let bytes = prost::Message::encoded_len(&batch) as u64;
            node.feed.bytes_in.fetch_add(bytes, Ordering::Relaxed);
            Some(batch)
        }
        _ => None,
    }
}

/// Answers the pull of a peer.
pub(crate) async fn answer_pull(node: &InstanceNode, pull: &FeedPull) -> FeedBatch {
    node.feed.record_revision(&pull.instance, pull.revision);
    let revision = || node.tables.gate.lock().unwrap().revision();
    let batch = node.feed.answer_pull(pull, revision).await;
    let bytes = prost::Message::encoded_len(&batch) as u64;
    node.feed.bytes_out.fetch_add(bytes, Ordering::Relaxed);
    batch
}

fn apply_batch(node: &InstanceNode, wire: FeedBatch) {
    let snapshot = wire.snapshot;
    match WatchBatch::try_from(wire) {
        Ok(batch) => store_watcher::apply_changes(node, batch, snapshot),
        Err(error) => log::error!("ignoring a malformed batch of changes from a peer: {error}"),
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
