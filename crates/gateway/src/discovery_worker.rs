//! Keeps the server list up to date with the store.

use crate::{evacuation_worker, prelude::*, warmup_worker};

/// Applies an update of the server entries, which may have changed from `changed_at` on.
pub(crate) fn apply(node: &Arc<GatewayNode>, update: StoreUpdate, changed_at: MonoTime) {
    let now = node.now();
    let grace = node.expiry_grace();
    let revision = latest_revision(&update);
    let mut roster = node.roster.lock();
    let knew_any = roster.entries().next().is_some();
    let is_restored = roster.observe_revision(revision, now) && knew_any;
    match update {
        StoreUpdate::List(page) => {
            let entries = page.objects.iter().filter_map(|object| {
                let entry = read_entry(node, object)?;
                Some((entry, object.revision))
            });
            roster.replace_all(entries.collect(), page.revision, now, grace);
        }
        StoreUpdate::Changes(changes) => {
            for event in changes.events {
                let object = &event.object;
                let entry = if event.is_removed {
                    None
                } else {
                    read_entry(node, object)
                };
                let change = match entry {
                    Some(entry) => RosterChange::Updated(Box::new(entry), object.revision),
                    None => RosterChange::Removed(object.name.clone(), object.revision),
                };
                roster.apply(change, now, grace);
            }
        }
    }
    if is_restored {
        let era = revision.era;
        let held = roster.held_count();
        let missing = roster.expiring_count();
        log::info!(era, held, missing; "servers compared after a restore of the store");
    }
    drop(roster);
    node.refresh_servers_changed_at(changed_at);
}

/// Periodically removes expired server entries and closes idle connections.
pub(crate) async fn expire_servers(node: Arc<GatewayNode>) {
    /// Time between two checks.
    const INTERVAL: Duration = Duration::from_millis(200);
    loop {
        Timer::after(INTERVAL).await;
        let now = node.now();
        evacuation_worker::settle(&node);
        let expired = node.roster.lock().remove_expired(now);
        if expired {
            node.refresh_servers();
        }
        node.helpers.close_idle(now);
        for server in node.all_servers() {
            warmup_worker::record_end(&node, &server, now);
            server.pool.close_idle(now);
            server.grants.close_idle(now);
            server.releases.close_idle();
        }
    }
}

fn latest_revision(update: &StoreUpdate) -> StoreRevision {
    match update {
        StoreUpdate::List(page) => page.revision,
        StoreUpdate::Changes(changes) => {
            let revisions = changes.events.iter().map(|event| event.object.revision);
            revisions.fold(changes.revision, StoreRevision::max)
        }
    }
}

fn read_entry(node: &GatewayNode, object: &PlatformObject) -> Option<ServerEntry> {
    let error = match ServerBody::read(object) {
        Ok(entry) => return Some(entry),
        Err(error) => error,
    };
    // Another writer may write its entry as often as servers do.
    if node.log.allow("entry", node.now()) {
        log::warn!(
            server = object.name.as_str(),
            object_revision:% = object.revision,
            cause = error.to_string().as_str();
            "entry of a server cannot be read and is left out"
        );
    }
    None
}
