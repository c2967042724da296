//! Following the objects of one kind.
//!
//! A list, then watches from its revision. An instance that has not the duty to watch learns from
//! others instead. A watch is made again when another instance knew more, or when the store answers
//! a call after one that it did not: the watch's own connection may have gone silent.

use crate::{object_mirror::position_of, prelude::*, update_router};

/// What a watcher learned.
pub(crate) enum StoreUpdate {
    /// All objects as of a revision.
    List(ObjectPage),
    /// Changes after it.
    Changes(ObjectChanges),
}

/// Longest time that one watch waits.
const WATCH_TIME: Duration = Duration::from_secs(8);
/// Pause after the first call that failed.
const LEAST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after calls that failed.
const MOST_PAUSE: Duration = Duration::from_millis(800);
/// Time between two looks at the duty.
const DUTY_LOOK: Duration = Duration::from_millis(300);

/// Time that the first answer of a seed is waited for.
const FIRST_SEED_TIME: Duration = Duration::from_millis(150);
/// Pause before the next watch of servers, so that entries written together come together.
const SERVERS_PAUSE: Duration = Duration::from_millis(200);

/// What to do after a watch.
enum NextWatch {
    /// Go on from what is known.
    Again,
    /// The history is gone.
    List,
    /// The store did not answer.
    Pause,
}

/// Follows a kind until the pool stops.
pub(crate) async fn follow(node: Arc<GatewayNode>, kind: ObjectKind) {
    let mut pause = LEAST_PAUSE;
    let mut must_list = false;
    if node.settings.asks_seeds() {
        Timer::after(FIRST_SEED_TIME).await;
    }
    loop {
        let known = node.mirror.lock().unwrap().complete()[position_of(kind)];
        if known > 0 && !has_duty(&node) || is_left_to_seeds(&node) {
            Timer::after(DUTY_LOOK).await;
            continue;
        }
        let next = match known == 0 || must_list {
            true => list(&node, kind).await,
            false => watch(&node, kind, known).await,
        };
        must_list = match next {
            NextWatch::Again => {
                pause = LEAST_PAUSE;
                false
            }
            NextWatch::List => true,
            NextWatch::Pause => {
                Timer::after(pause.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
                pause = (pause * 2).min(MOST_PAUSE);
                must_list
            }
        };
    }
}

/// Whether the instance has just started and a seed tells it what it needs.
fn is_left_to_seeds(node: &GatewayNode) -> bool {
    node.is_recently_started() && node.is_seed_reachable.load(Ordering::Relaxed)
}

fn has_duty(node: &GatewayNode) -> bool {
    let leads = node.is_leading();
    node.peers.lock().unwrap().should_watch(leads, node.now())
}

async fn list(node: &Arc<GatewayNode>, kind: ObjectKind) -> NextWatch {
    match node.store.list(kind).await {
        Ok(page) => {
            update_router::apply(node, kind, StoreUpdate::List(page));
            NextWatch::Again
        }
        Err(_) => NextWatch::Pause,
    }
}

async fn watch(node: &Arc<GatewayNode>, kind: ObjectKind, after: u64) -> NextWatch {
    let watch = async { Some(node.store.watch(kind, after, WATCH_TIME).await) };
    let broken_off = async {
        let suspect = future::or(
            node.watch_restart_due.listen(),
            node.store.health.wait_return(),
        );
        future::or(suspect, relieved(node)).await;
        None
    };
    match future::or(watch, broken_off).await {
        None => NextWatch::Again,
        Some(Ok(changes)) => {
            update_router::apply(node, kind, StoreUpdate::Changes(changes));
            if kind == ObjectKind::Servers {
                Timer::after(SERVERS_PAUSE).await;
            }
            NextWatch::Again
        }
        Some(Err(StoreCallError::Compacted)) => {
            log::info!(kind = kind.label(), after; "history is gone, listing again");
            NextWatch::List
        }
        Some(Err(_)) => NextWatch::Pause,
    }
}

/// Ends when the instance has no longer the duty to watch.
async fn relieved(node: &GatewayNode) {
    while has_duty(node) {
        Timer::after(DUTY_LOOK).await;
    }
}
