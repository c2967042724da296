//! Asks the store whether all its changes are known, and takes over those that are not.
//!
//! The answer to one call tells the store's revision. Kinds of objects that are known up to it, or
//! whose changes are all known by their revisions, need no further call. The watches stay as they
//! are unless a change shows up that they have not told of.

use crate::{
    object_mirror::position_of,
    object_watcher,
    prelude::*,
    record_worker,
    update_router::{self, UpdateSource},
};

/// Time that the store may wait for a change before it answers.
pub(crate) const WAIT: Duration = Duration::from_millis(1);

/// Asks the store for changes. Without an answer the knowledge stays as old as it is.
pub(crate) async fn run(node: &Arc<GatewayNode>) -> Result<(), StoreCallError> {
    let asked_at = node.now();
    let (revision, mut has_changed) = fetch(node, ObjectKind::Records).await?;
    node.knowledge.lock().observe(asked_at, revision);
    confirm_leadership(node, asked_at, revision);
    let mut result = Ok(());
    let kinds = [
        ObjectKind::Servers,
        ObjectKind::Configuration,
        ObjectKind::Evacuations,
    ];
    for kind in kinds.into_iter().filter(|kind| node.follows(*kind)) {
        let synced = node.mirror.lock().synced_revisions();
        if is_known(&node.knowledge.lock(), synced, kind, revision) {
            continue;
        }
        match fetch(node, kind).await {
            Ok((_, is_changed)) => has_changed |= is_changed,
            Err(error) => result = Err(error),
        }
    }
    if result.is_ok() {
        node.knowledge.lock().record_complete(revision);
    }
    if has_changed {
        node.watch_restart_due.notify(usize::MAX);
    }
    result
}

/// Whether all changes of a kind up to the store's revision are known.
pub(crate) fn is_known(
    knowledge: &KnowledgeAge,
    synced: KindRevisions,
    kind: ObjectKind,
    revision: StoreRevision,
) -> bool {
    knowledge.covers(revision) || synced[position_of(kind)] >= revision
}

/// Fetches the changes of a kind. Returns the store's revision, and whether there were any changes.
async fn fetch(
    node: &Arc<GatewayNode>,
    kind: ObjectKind,
) -> Result<(StoreRevision, bool), StoreCallError> {
    let known = node.mirror.lock().synced_revisions()[position_of(kind)];
    let update = match known {
        StoreRevision::ZERO => StoreUpdate::List(node.store.list(kind).await?),
        _ => match node.store.watch(kind, known, WAIT).await {
            Ok(changes) => StoreUpdate::Changes(changes),
            Err(StoreCallError::Compacted | StoreCallError::TooLarge) => {
                StoreUpdate::List(node.store.list(kind).await?)
            }
            Err(error) => return Err(error),
        },
    };
    let (revision, has_changed) = match &update {
        StoreUpdate::List(page) => {
            object_watcher::forget_if_restored(node, kind, known, page.revision);
            (page.revision, true)
        }
        StoreUpdate::Changes(changes) => (changes.revision, !changes.events.is_empty()),
    };
    update_router::apply(node, kind, update, UpdateSource::Check);
    Ok((revision, has_changed))
}

/// Confirms the leadership of the services whose record in the store names this instance.
fn confirm_leadership(node: &GatewayNode, asked_at: MonoTime, revision: StoreRevision) {
    for service in node.keyed_services() {
        if names_this_instance(node, &service, revision) {
            node.with_key_view(&service, |view| {
                if view.leader.is_leader() {
                    view.leader.confirm_leadership(asked_at);
                }
            });
        }
    }
}

/// Whether the record of a service exists, can be read, names this instance and was written in the
/// present era. A record beyond the store's revision is one that the store has lost.
fn names_this_instance(node: &GatewayNode, service: &str, revision: StoreRevision) -> bool {
    let name = format!("{}{service}", KeyView::PREFIX);
    let object = node.mirror.lock().object(ObjectKind::Records, &name);
    let object = object.filter(|object| object.revision <= revision);
    let Some(object) = object else { return false };
    record_worker::read_key_record(&object).is_ok_and(|record| {
        record.leader == node.own_incarnation && !record.is_restored_copy(object.revision, None)
    })
}
