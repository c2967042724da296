//! Writes key records again that the store has lost since it came back from an older copy.

use crate::{
    leader_worker::{LeaderLoopState, takeover_pause},
    prelude::*,
    record_worker, record_writer,
};

/// Time for which other instances leave a record to its leader, as long as they hear it. Longer than
/// the time after which it goes on without the report of a silent instance.
pub(crate) const LEADER_TIME: Duration = Duration::from_secs(8);
/// Time for which a silent instance may be a leader whose takeover the store has lost.
pub(crate) const PEER_WINDOW: Duration = Duration::from_secs(6);

/// Record of a service as the store has it.
struct FoundRecord {
    record: Option<KeyRecord>,
    revision: Option<StoreRevision>,
}

/// Writes the record of this leader again, once that is safe, if the store has lost it.
pub(crate) async fn restore(node: &Arc<GatewayNode>, service: &str, state: &mut LeaderLoopState) {
    let now = node.now();
    let pause = takeover_pause(node.store.health.is_unavailable(), false);
    if !node.with_key_view(service, |view| view.leader.needs_restore()) {
        return;
    }
    let step = next_step(node, service);
    if matches!(step, RestoreStep::NotNeeded | RestoreStep::Wait)
        || now.since(state.store_asked_at) < pause
    {
        return;
    }
    state.store_asked_at = now;
    let Some(found) = read(node, service).await else {
        return;
    };
    if next_step(node, service) != step {
        return;
    }
    let RestoreStep::Rewrite { raises_fences } = step else {
        return write_takeover(node, service, &found).await;
    };
    let stored = found.record.as_ref();
    let (record, known) = node.with_key_view(service, |view| {
        let record = view.leader.rewritten_record(stored, raises_fences);
        (record, view.leader.record().map(|(_, revision)| revision))
    });
    let (Some(record), Some(known)) = (record, known) else {
        return;
    };
    let written = record_writer::write(node, service, &record, found.revision, "restore").await;
    let Some(revision) = written else { return };
    log::warn!(
        service,
        revision:%,
        term = record.term,
        last_fence = record.last_fence,
        known_revision:% = known,
        stored_revision:% = found.revision.unwrap_or_default(),
        stored_term = stored.map_or(0, |stored| stored.term),
        stored_fence = stored.map_or(0, |stored| stored.last_fence),
        raises_fences;
        "key record restored"
    );
}

/// Takes over a record of which the store has lost changes, unless its leader has written it again.
pub(crate) async fn take_over(node: &Arc<GatewayNode>, service: &str) {
    let Some(found) = read(node, service).await else {
        return;
    };
    if node.with_key_view(service, |view| view.leader.needs_restore()) {
        write_takeover(node, service, &found).await;
    }
}

async fn write_takeover(node: &Arc<GatewayNode>, service: &str, found: &FoundRecord) {
    let record = node.with_key_view(service, |view| {
        view.leader.takeover_record(service, found.record.as_ref())
    });
    record_writer::write(node, service, &record, found.revision, "take-over").await;
}

/// Records the end of an unknown former leader once the other instances follow this one.
pub(crate) fn end_unknown_leader(node: &GatewayNode, service: &str) {
    let now = node.now();
    // A leader may go on for that time after it was heard last.
    let window = GatewayNode::TIMING.authority;
    let others = node.peers.lock().names_heard_within(window, now);
    node.with_key_view(service, |view| view.leader.end_unknown_leader(&others, now));
}

fn next_step(node: &GatewayNode, service: &str) -> RestoreStep {
    let now = node.now();
    let others = node.peers.lock().names_heard_within(PEER_WINDOW, now);
    node.with_key_view(service, |view| view.leader.restore_step(&others, now))
}

/// Reads the record, and adopts it if it was written in the present era. Returns `None` if it cannot be
/// read.
async fn read(node: &GatewayNode, service: &str) -> Option<FoundRecord> {
    let name = format!("{}{service}", KeyView::PREFIX);
    let Some(object) = node.store.read(ObjectKind::Records, &name).await.ok()? else {
        return Some(FoundRecord {
            record: None,
            revision: None,
        });
    };
    let record = record_worker::read_key_record(&object).ok()?;
    let revision = object.revision;
    let event = ObjectEvent {
        object,
        is_removed: false,
    };
    record_worker::apply_event(node, &event);
    Some(FoundRecord {
        record: Some(record),
        revision: Some(revision),
    })
}
