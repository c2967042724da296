//! The first configuration of a fresh instance.
//!
//! A fresh instance has no memory, so a lagging watch or one peer that knows less must not be its
//! first word: it reads the head from the store itself or, while the store gives no answer, takes
//! the latest of what several peers know.

use crate::{feed_worker, prelude::*, store_watcher};

/// Peers that must answer in place of the store, where so many are set.
const MIN_PEERS: usize = 2;
/// Least pause between two tries.
const LEAST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Ends once the head is confirmed.
pub(crate) async fn run(node: &InstanceNode) {
    let mut pause = RetryBackoff::new(LEAST_PAUSE, LONGEST_PAUSE);
    while !(store_watcher::read_head(node).await || ask_peers(node).await) {
        Timer::after(pause.next_delay(rand::random())).await;
    }
    node.feed.set_started();
}

/// Takes the latest of what the peers from the settings know; false when too few answer.
async fn ask_peers(node: &InstanceNode) -> bool {
    let seeds = &node.settings.seed_peers;
    let mut latest = ObjectCache::default();
    let mut answered = 0;
    for address in seeds {
        let sent = node.clock.now();
        let mark = CacheProgress::default();
        let Some(wire) = feed_worker::call(node, *address, mark, Duration::ZERO).await else {
            continue;
        };
        let Ok(batch) = WatchBatch::try_from(wire) else {
            continue;
        };
        node.feed.heard_peer(&address.to_string(), sent);
        latest.apply_batch(batch);
        answered += 1;
    }
    if answered == 0 || answered < MIN_PEERS.min(seeds.len()) {
        return false;
    }
    let batch = latest.changes_since(ObjectVersion::default());
    store_watcher::take_in(node, batch, false);
    true
}
