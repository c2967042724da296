//! Keeps what an instance knows of the store young enough.

use crate::{
    feed_client::{self, UpdateOutcome},
    feed_connection::FeedConnection,
    object_mirror::position_of,
    prelude::*,
    store_check,
};

/// Longest time between two looks at the age.
const MAX_INTERVAL: Duration = Duration::from_millis(300);
/// Mean delay after a call, before the next one if that is due.
pub(crate) const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The same after several calls that did not help.
pub(crate) const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest time without a further byte of the updates of another instance, which may be gone.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without an answer after which another check of the store may begin.
pub(crate) const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Refreshes the knowledge whenever it gets too old.
pub(crate) async fn run(node: Arc<GatewayNode>) {
    let mut connection = None;
    let mut old_since = None;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let doubted = node.knowledge_doubted.listen();
        let now = node.now();
        log_age(&node, &mut old_since, now);
        let is_source = node.is_leading();
        let instances = node.instance_count();
        let is_exchanging = node.peers.lock().is_exchanging();
        let is_retry_due = node.store.health.is_retry_due(is_exchanging, now);
        let step = if is_confirmation_due(&node, now) || is_retry_due {
            RefreshStep::AskStore
        } else if node.is_recently_started() {
            // The seeds tell what they know.
            RefreshStep::Wait
        } else {
            let is_failing = node.peers.lock().is_store_failing(now);
            let may_reach_store = !is_failing && !node.store.health.is_unstable(now);
            let knowledge = node.knowledge.lock();
            let step =
                knowledge.next_step(is_source, is_exchanging, instances, now, rand::random());
            knowledge.escalate(step, may_reach_store, now, rand::random())
        };
        match step {
            RefreshStep::Wait => {
                let pause = pause(node.knowledge.lock().age(now), is_source);
                future::or(doubted, async {
                    Timer::after(pause).await;
                })
                .await;
            }
            RefreshStep::AskStore => ask_store(&node).await,
            RefreshStep::AskPeer => ask_peer(&node, &mut connection).await,
        }
        retry_delay = match step {
            RefreshStep::Wait => MIN_RETRY_DELAY,
            RefreshStep::AskStore | RefreshStep::AskPeer => {
                Timer::after(retry_delay.mul_f64(0.5 + rand::random::<f64>())).await;
                (retry_delay * 2).min(MAX_RETRY_DELAY)
            }
        };
    }
}

/// Whether the store should confirm this instance as the leader of a service's keys.
fn is_confirmation_due(node: &GatewayNode, now: MonoTime) -> bool {
    node.keyed_services().iter().any(|service| {
        node.with_key_view(service, |view| {
            view.leader.is_leader() && view.leader.confirmation_age(now) >= KnowledgeAge::CHECK_AGE
        })
    })
}

/// Time until the knowledge may be too old.
pub(crate) fn pause(age: Duration, is_source: bool) -> Duration {
    /// Shortest time between two looks at the age.
    const MIN_INTERVAL: Duration = Duration::from_millis(20);
    let limit = match is_source {
        true => KnowledgeAge::CHECK_AGE,
        false => KnowledgeAge::MAX_AGE,
    };
    limit.saturating_sub(age).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Takes over the age of another instance's knowledge if this one knows at least as much of servers,
/// configuration and evacuations. Key records come in heartbeats, one by one.
pub(crate) fn confirm(
    knowledge: &mut KnowledgeAge,
    synced: KindRevisions,
    report: KnowledgeReport,
    revisions: KindRevisions,
    sent_at: MonoTime,
) {
    let knows_all = |kind| synced[position_of(kind)] >= revisions[position_of(kind)];
    let evacuations = position_of(ObjectKind::Evacuations);
    // The age of the other's knowledge says nothing about evacuations that it does not follow.
    let follows_fewer =
        synced[evacuations] > StoreRevision::ZERO && revisions[evacuations] == StoreRevision::ZERO;
    if knows_all(ObjectKind::Servers)
        && knows_all(ObjectKind::Configuration)
        && knows_all(ObjectKind::Evacuations)
        && !follows_fewer
    {
        knowledge.confirm_from(report, sent_at);
    }
}

/// Starts a check of the store, and waits for its end for a while. One that is not answered goes on
/// beside the next one.
async fn ask_store(node: &Arc<GatewayNode>) {
    let ended = Arc::new(OneShotEvent::default());
    let (task_node, task_ended) = (node.clone(), ended.clone());
    node.workers.spawn(async move {
        // A failure shows in the age of the knowledge.
        let _ = store_check::run(&task_node).await;
        task_ended.set();
    });
    future::or(ended.wait(), async {
        Timer::after(CHECK_TIMEOUT).await;
    })
    .await;
}

async fn ask_peer(node: &Arc<GatewayNode>, connection: &mut Option<FeedConnection>) {
    let Some(address) = node
        .peers
        .lock()
        .random_feed_address(&mut rand::rng(), node.now())
    else {
        return;
    };
    let outcome = feed_client::request_updates(node, connection, address, PEER_TIMEOUT).await;
    if outcome == UpdateOutcome::Updated {
        node.watch_restart_due.notify(usize::MAX);
    }
    if !outcome.is_answered() {
        *connection = None;
    }
}

/// Logs when the knowledge has become too old, and when it is confirmed again.
fn log_age(node: &GatewayNode, old_since: &mut Option<MonoTime>, now: MonoTime) {
    let age = node.knowledge.lock().age(now);
    let is_old = age > KnowledgeAge::MAX_AGE + MAX_INTERVAL;
    match (is_old, *old_since) {
        (true, None) if !node.is_recently_started() => {
            *old_since = Some(now);
            let age_ms = age.as_millis() as u64;
            log::warn!(age_ms; "what is known of the store is not confirmed");
        }
        (false, Some(since)) => {
            *old_since = None;
            let away_ms = now.since(since).as_millis() as u64;
            log::info!(away_ms; "what is known of the store is confirmed again");
        }
        _ => {}
    }
}
