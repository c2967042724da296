//! Tells other workers and instances that the store has begun a new era.
//!
//! What is known stays in force. Watchers list the objects again, the others hear of the era in
//! heartbeats and fetch what the watchers have listed, and leaders write their records again.

use crate::prelude::*;

/// Follows the eras until the worker pool stops.
pub(crate) async fn follow(node: Arc<GatewayNode>) {
    loop {
        node.store.eras.begun.listen().await;
        log_known(&node);
        node.heartbeat_due.notify(usize::MAX);
        node.keys_changed.notify(usize::MAX);
    }
}

/// Logs up to where the objects of the earlier era are known.
fn log_known(node: &GatewayNode) {
    let known = node.mirror.lock().synced_revisions();
    if known == [StoreRevision::ZERO; KIND_COUNT] {
        return;
    }
    let [servers, configuration, records, _] = known;
    log::info!(
        era = node.store.era().number,
        leads = node.is_leading(),
        servers:%,
        configuration:%,
        records:%;
        "going on with what is known of the earlier era"
    );
}
