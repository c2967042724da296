//! Checks of servers' incarnations in the store, many in one call.
//!
//! A new leader opens a connection to each owner of keys and has each confirmed by the store. Checks
//! that begin within a moment are made together: a few by a call each, many by one list of all
//! servers. Either is asked for after all of their connections are open.

use crate::prelude::*;

/// Result of comparing the incarnation in the store with the expected one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IncarnationCheck {
    Same,
    Other,
    Unknown,
}

/// Checks of servers' incarnations that wait for their store calls.
#[derive(Default)]
pub(crate) struct IncarnationChecks {
    /// The checks that begin now; `None` if no other has begun within the last moment.
    open: StateMutex<Option<Arc<CheckBatch>>>,
}

/// Checks that are made together.
#[derive(Default)]
struct CheckBatch {
    size: AtomicUsize,
    answer: StateMutex<BatchAnswer>,
    is_answered: OneShotEvent,
}

/// What the store has said for a batch.
#[derive(Clone, Default)]
enum BatchAnswer {
    /// Nothing.
    #[default]
    Missing,
    /// The batch is small: each check reads its server.
    ReadEach,
    /// All servers.
    Listed(Arc<IndexMap<String, ServerIncarnation>>),
}

impl IncarnationChecks {
    /// Time within which checks are made together.
    const BATCH_TIME: Duration = Duration::from_millis(10);
    /// Number of servers in a page of a list, at least; each page is a call.
    const PAGE_SERVERS: usize = 50;
    /// Longest wait for the store's answer: a renewal has to be sent before the previous grant
    /// expires.
    const TIMEOUT: Duration = Duration::from_millis(500);

    /// Compares an incarnation of a server with the one in the store, which is asked from now on.
    pub(crate) async fn check(
        &self,
        node: &Arc<GatewayNode>,
        expected: &ServerIncarnation,
    ) -> IncarnationCheck {
        let checked = async {
            match self.join(node).await {
                BatchAnswer::Missing => IncarnationCheck::Unknown,
                BatchAnswer::ReadEach => read(node, expected).await,
                BatchAnswer::Listed(servers) => match servers.get(&expected.id) {
                    Some(listed) if listed == expected => IncarnationCheck::Same,
                    Some(_) => IncarnationCheck::Other,
                    None => IncarnationCheck::Unknown,
                },
            }
        };
        future::or(checked, async {
            Timer::after(Self::TIMEOUT).await;
            IncarnationCheck::Unknown
        })
        .await
    }

    /// Joins the open batch, or opens one, and waits for its answer.
    async fn join(&self, node: &Arc<GatewayNode>) -> BatchAnswer {
        let (batch, is_first) = {
            let mut open = self.open.lock();
            let is_first = open.is_none();
            (open.get_or_insert_default().clone(), is_first)
        };
        batch.size.fetch_add(1, Ordering::Relaxed);
        if is_first {
            let (node, batch) = (node.clone(), batch.clone());
            node.clone().workers.spawn(async move {
                Timer::after(Self::BATCH_TIME).await;
                // Later checks may be of connections that are not open yet.
                node.incarnation_checks.open.lock().take();
                let answer = ask(&node, batch.size.load(Ordering::Relaxed)).await;
                *batch.answer.lock() = answer;
                batch.is_answered.set();
            });
        }
        batch.is_answered.wait().await;
        batch.answer.lock().clone()
    }
}

/// Asks the store for the servers of a batch of checks.
async fn ask(node: &GatewayNode, checks: usize) -> BatchAnswer {
    let pages = node.all_servers().len() / IncarnationChecks::PAGE_SERVERS + 1;
    if checks <= pages {
        return BatchAnswer::ReadEach;
    }
    let Ok(page) = node.store.list(ObjectKind::Servers).await else {
        return BatchAnswer::Missing;
    };
    let entries = page
        .objects
        .iter()
        .filter_map(|object| ServerBody::read(object).ok());
    let servers = entries.map(|entry| (entry.incarnation.id.clone(), entry.incarnation));
    BatchAnswer::Listed(Arc::new(servers.collect()))
}

async fn read(node: &GatewayNode, expected: &ServerIncarnation) -> IncarnationCheck {
    let Ok(Some(object)) = node.store.read(ObjectKind::Servers, &expected.id).await else {
        return IncarnationCheck::Unknown;
    };
    match ServerBody::read(&object) {
        Ok(entry) if entry.incarnation == *expected => IncarnationCheck::Same,
        Ok(_) => IncarnationCheck::Other,
        Err(_) => IncarnationCheck::Unknown,
    }
}
