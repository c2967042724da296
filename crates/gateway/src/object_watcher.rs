//! Watches the store's objects of one kind.
//!
//! A watcher lists the objects and then watches from the list's revision. An instance that is not
//! assigned to watch is updated by other instances instead. A watch is restarted when another
//! instance had a newer revision, or when the store answers after a failed call: the watch's own
//! connection may be dead. In a new era of the store the watchers list again: what they know has no
//! history there, although its revisions may have been given out again.

use crate::{
    object_mirror::position_of,
    prelude::*,
    update_router::{self, UpdateSource},
};

/// New state of the store's objects of one kind.
pub(crate) enum StoreUpdate {
    /// All objects as of a revision.
    List(ObjectPage),
    /// Changes after a revision that was known.
    Changes(ObjectChanges),
}

/// Longest time that one watch call waits for changes.
pub(crate) const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause after the first failed call.
pub(crate) const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after consecutive failed calls.
pub(crate) const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time between two checks whether this instance should watch.
pub(crate) const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time that the seeds get to answer before the store is asked; `draw` is uniform in 0 to 1. When all
/// instances start at the same time the seeds do too, and those that give up must not do so together.
pub(crate) fn seed_patience(draw: f64) -> Duration {
    /// Time in which each of three seeds can be asked.
    const SHORTEST: Duration = Duration::from_millis(500);
    const SPREAD: Duration = Duration::from_secs(1);
    SHORTEST + SPREAD.mul_f64(draw)
}
/// Pause between watches of servers, so that entries written together arrive in one batch.
pub(crate) const SERVERS_BATCH_DELAY: Duration = Duration::from_millis(200);

/// What to do after a watch.
enum NextWatch {
    /// Watch from the known revision.
    Continue,
    /// List all objects, since the store no longer has the history, or it is too large.
    Relist,
    /// Wait before the next call, since the store did not answer.
    BackOff,
}

/// Watches a kind until the worker pool stops.
pub(crate) async fn follow(node: Arc<GatewayNode>, kind: ObjectKind) {
    let mut backoff = MIN_BACKOFF;
    let mut must_list = false;
    if node.settings.asks_seeds() {
        Timer::after(seed_patience(rand::random())).await;
    }
    loop {
        let known = node.mirror.lock().synced_revisions()[position_of(kind)];
        let is_fed = is_fed_by_seeds(&node) && !is_left_out_by_seeds(&node, kind);
        if known > StoreRevision::ZERO && !should_watch(&node) || is_fed {
            Timer::after(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        let next = match known == StoreRevision::ZERO || must_list {
            true => list(&node, kind, known).await,
            false => watch(&node, kind, known).await,
        };
        must_list = match next {
            NextWatch::Continue => {
                backoff = MIN_BACKOFF;
                false
            }
            NextWatch::Relist => true,
            NextWatch::BackOff => {
                Timer::after(backoff.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                must_list
            }
        };
    }
}

/// Whether the instance has recently started and is updated by a seed.
fn is_fed_by_seeds(node: &GatewayNode) -> bool {
    node.is_recently_started() && node.is_seed_reachable.load(Ordering::Relaxed)
}

/// Whether a seed has told of the servers but not of this kind, since it does not follow it.
fn is_left_out_by_seeds(node: &GatewayNode, kind: ObjectKind) -> bool {
    let synced = node.mirror.lock().synced_revisions();
    let is_known = |kind| synced[position_of(kind)] > StoreRevision::ZERO;
    kind == ObjectKind::Evacuations && is_known(ObjectKind::Servers) && !is_known(kind)
}

fn should_watch(node: &GatewayNode) -> bool {
    let leads = node.is_leading();
    node.peers.lock().should_watch(leads, node.now())
}

/// Forgets a kind if a list has a lower revision than was known when it was asked for: the store
/// was restored from an older copy.
pub(crate) fn forget_if_restored(
    node: &GatewayNode,
    kind: ObjectKind,
    known: StoreRevision,
    listed_revision: StoreRevision,
) {
    if listed_revision >= known {
        return;
    }
    log::warn!(kind = kind.label(), known:%, listed_revision:%; "store has gone back to an earlier revision");
    node.mirror.lock().forget(kind);
    node.knowledge.lock().forget_revisions();
}

async fn list(node: &Arc<GatewayNode>, kind: ObjectKind, known: StoreRevision) -> NextWatch {
    match node.store.list(kind).await {
        Ok(page) => {
            forget_if_restored(node, kind, known, page.revision);
            update_router::apply(node, kind, StoreUpdate::List(page), UpdateSource::Store);
            NextWatch::Continue
        }
        Err(_) => NextWatch::BackOff,
    }
}

async fn watch(node: &Arc<GatewayNode>, kind: ObjectKind, after: StoreRevision) -> NextWatch {
    let started_at = node.now();
    let watch = async { Some(node.store.watch(kind, after, WATCH_TIMEOUT).await) };
    let interrupted = async {
        let maybe_stale = future::or(
            node.watch_restart_due.listen(),
            future::or(node.store.health.wait_recovery(), async {
                node.store.eras.begun.listen().await;
            }),
        );
        future::or(maybe_stale, wait_until_watch_not_needed(node)).await;
        None
    };
    match future::or(watch, interrupted).await {
        None => NextWatch::Continue,
        Some(Ok(changes)) => {
            let update = StoreUpdate::Changes(changes);
            update_router::apply(node, kind, update, UpdateSource::Store);
            if kind == ObjectKind::Servers {
                Timer::after(SERVERS_BATCH_DELAY).await;
            }
            NextWatch::Continue
        }
        Some(Err(StoreCallError::Compacted)) => {
            log::info!(kind = kind.label(), after:%; "history is gone, listing again");
            NextWatch::Relist
        }
        // The same watch would fail for as long as the store has this history.
        Some(Err(StoreCallError::TooLarge)) => {
            log::warn!(kind = kind.label(), after:%; "history is too large, listing again");
            NextWatch::Relist
        }
        Some(Err(error)) => {
            let now = node.now();
            if node.log.allow("watch", now) {
                let waited_ms = now.since(started_at).as_millis() as u64;
                let cause = error.to_string();
                log::warn!(kind = kind.label(), after:%, waited_ms, cause = cause.as_str(); "watch failed");
            }
            NextWatch::BackOff
        }
    }
}

/// Completes when the instance should no longer watch.
async fn wait_until_watch_not_needed(node: &GatewayNode) {
    while should_watch(node) {
        Timer::after(WATCHER_CHECK_INTERVAL).await;
    }
}
