//! Writes key records.

use crate::{prelude::*, record_worker};

/// Reads and adopts the key record; if it names this instance, leadership is confirmed as of the
/// time of the call.
pub(crate) async fn refresh(node: &GatewayNode, service: &str) {
    let asked_at = node.now();
    let name = format!("{}{service}", KeyView::PREFIX);
    let Ok(Some(object)) = node.store.read(ObjectKind::Records, &name).await else {
        return;
    };
    let leads = record_worker::read_key_record(&object).is_ok_and(|record| {
        record.leader == node.own_incarnation && !record.is_restored_copy(object.revision, None)
    });
    let event = ObjectEvent {
        object,
        is_removed: false,
    };
    record_worker::apply_event(node, &event);
    if leads {
        node.with_key_view(service, |view| view.leader.confirm_leadership(asked_at));
    }
}

/// Writes the key record: replaces the one at `revision`, or creates it if `revision` is `None`.
/// It tells the era of the store in which it is written. Reads the store's record again unless the
/// store wrote or refused the new one. Returns the revision that was written.
pub(crate) async fn write(
    node: &Arc<GatewayNode>,
    service: &str,
    record: &KeyRecord,
    revision: Option<StoreRevision>,
    reason: &'static str,
) -> Option<StoreRevision> {
    let asked_at = node.now();
    let name = format!("{}{service}", KeyView::PREFIX);
    let record = &KeyRecord {
        era: Some(node.store.era().number),
        ..record.clone()
    };
    let spec = match RecordBody::write(&StoredRecord::from(record)) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!(service, cause = error.to_string().as_str(); "key record cannot be encoded and is not written");
            return None;
        }
    };
    let kind = ObjectKind::Records;
    let result = match revision {
        Some(revision) => node.store.replace(kind, &name, revision, &spec).await,
        None => node.store.create(kind, &name, &spec).await,
    };
    let (outcome, cause) = match &result {
        Ok(WriteAnswer::Written(object)) => {
            let written = PlatformObject {
                spec: spec.clone(),
                ..object.clone()
            };
            node.mirror.lock().insert(ObjectKind::Records, written);
            record_worker::adopt(node, service, record.clone(), object.revision);
            let mut knowledge = node.knowledge.lock();
            knowledge.record_change(object.revision);
            knowledge.observe(asked_at, object.revision);
            drop(knowledge);
            if record.leader == node.own_incarnation {
                node.with_key_view(service, |view| view.leader.confirm_leadership(asked_at));
            }
            ("written", String::new())
        }
        Ok(WriteAnswer::Conflict) => ("conflict", String::new()),
        Ok(WriteAnswer::Missing) => ("missing", String::new()),
        Ok(WriteAnswer::Refused(status)) => ("refused", status.to_string()),
        Ok(WriteAnswer::Unclear(cause)) => ("unclear", cause.clone()),
        Err(error) => ("lost", error.to_string()),
    };
    metrics::counter!(RECORD_WRITES, "reason" => reason, "result" => outcome).increment(1);
    if node.log.allow("record", asked_at) {
        let moving = record.ranges.iter().filter(|range| !range.is_settled());
        log::info!(
            service,
            reason,
            outcome,
            cause = cause.as_str(),
            revision:% = revision.unwrap_or_default(),
            term = record.term,
            last_fence = record.last_fence,
            ranges = record.ranges.len(),
            moving = moving.count();
            "key record write"
        );
    }
    if !matches!(
        result,
        Ok(WriteAnswer::Written(_) | WriteAnswer::Refused(_))
    ) {
        refresh(node, service).await;
    }
    match result {
        Ok(WriteAnswer::Written(object)) => Some(object.revision),
        _ => None,
    }
}
