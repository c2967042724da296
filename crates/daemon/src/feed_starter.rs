//! The first configuration of a new instance.
//!
//! A new instance knows no earlier configuration, so it could not tell that a lagging watch or a
//! single outdated peer gives it an old one. It therefore reads the configuration from the store
//! itself or, while the store does not answer, takes the latest that several peers know.

use crate::{feed_worker, prelude::*, store_watcher};

/// Seed peers that must answer in place of the store; all of them if fewer are configured.
const MIN_SEED_ANSWERS: usize = 2;
/// Shortest delay between two attempts.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Fetches the first configuration, retrying until it is confirmed.
pub(crate) async fn run(node: &InstanceNode) {
    let mut backoff = RetryBackoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    while !(store_watcher::read_configuration_head(node).await || pull_from_seeds(node).await) {
        Timer::after(backoff.next_delay(rand::random())).await;
    }
    node.feed.set_confirmed();
}

/// Applies the latest objects that the seed peers know; returns false if too few of them answer.
async fn pull_from_seeds(node: &InstanceNode) -> bool {
    let seeds = &node.settings.seed_peers;
    let mut latest = ObjectCache::default();
    let mut answer_count = 0;
    for address in seeds {
        let sent_at = node.clock.now();
        let progress = CacheProgress::default();
        let Some(wire) = feed_worker::pull_from(node, *address, progress, Duration::ZERO).await
        else {
            continue;
        };
        let Ok(batch) = WatchBatch::try_from(wire) else {
            continue;
        };
        node.feed.record_peer_answer(&address.to_string(), sent_at);
        latest.apply_batch(batch);
        answer_count += 1;
    }
    if answer_count == 0 || answer_count < MIN_SEED_ANSWERS.min(seeds.len()) {
        return false;
    }
    let batch = latest.changes_since(ObjectVersion::default());
    store_watcher::apply_changes(node, batch, false);
    true
}
