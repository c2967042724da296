//! Following the objects of one kind.
//!
//! A list, then watches from its revision. A watch that another instance's heartbeat shows to be
//! behind is broken off and made again, since its connection may have gone silent.

use crate::prelude::*;

/// What a watcher learned.
pub(crate) enum WatchNews {
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

/// Follows a kind until the pool stops, handing all news to `apply`.
pub(crate) async fn follow(
    node: Arc<GatewayNode>,
    kind: ObjectKind,
    apply: impl Fn(&Arc<GatewayNode>, WatchNews),
) {
    let mut pause = LEAST_PAUSE;
    let mut revision = None;
    loop {
        let result = match revision {
            None => node.store.list(kind).await.map(|page| {
                let next = page.revision;
                apply(&node, WatchNews::List(page));
                next
            }),
            Some(after) => watch_once(&node, kind, after, &apply).await,
        };
        match result {
            Ok(next) => {
                revision = Some(next);
                pause = LEAST_PAUSE;
                continue;
            }
            Err(CallError::Compacted) => {
                log::info!(kind = kind.label(); "history is gone, listing again");
                revision = None;
                continue;
            }
            Err(_) => {}
        }
        Timer::after(pause.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
        pause = (pause * 2).min(MOST_PAUSE);
    }
}

async fn watch_once(
    node: &Arc<GatewayNode>,
    kind: ObjectKind,
    after: u64,
    apply: &impl Fn(&Arc<GatewayNode>, WatchNews),
) -> Result<u64, CallError> {
    let watch = async { Some(node.store.watch(kind, after, WATCH_TIME).await) };
    let behind = async {
        node.wait_behind(kind).await;
        None
    };
    let Some(changes) = future::or(watch, behind).await else {
        log::info!(kind = kind.label(), after; "watch is behind other instances, asking again");
        return Ok(after);
    };
    let changes = changes?;
    let next = changes.revision.max(after);
    apply(node, WatchNews::Changes(changes));
    Ok(next)
}
