//! Keeps the store's record of quarantined requests.

use crate::prelude::*;
use std::time::{SystemTime, UNIX_EPOCH};

/// Pause before a failed write of the record is repeated.
const WRITE_PAUSE: Duration = Duration::from_millis(300);
/// Longest delay before what a restore has lost is written again, so that many instances do not
/// write at once.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Number of writes that may fail because another instance wrote first.
const MAX_CONFLICTS: usize = 4;

/// Applies the store's record.
pub(crate) fn apply_record(node: &GatewayNode, object: &PlatformObject) -> Result<(), BodyError> {
    let record = read_record(object)?;
    let mut table = node.suspects.lock();
    table.apply_record(&record, object.revision, node.now());
    notify_if_restoring(node, &table);
    Ok(())
}

/// Takes note that the store has no record at a revision.
pub(crate) fn apply_missing_record(node: &GatewayNode, revision: StoreRevision) {
    let mut table = node.suspects.lock();
    table.apply_missing_record(revision, node.now());
    notify_if_restoring(node, &table);
}

fn notify_if_restoring(node: &GatewayNode, table: &QuarantineTable) {
    if table.is_restoring() {
        node.quarantine_changed.notify(usize::MAX);
    }
}

fn read_record(object: &PlatformObject) -> Result<QuarantineRecord, BodyError> {
    let stored: StoredQuarantine = RecordBody::read(object)?;
    QuarantineRecord::try_from(stored).map_err(|error| BodyError(error.to_string()))
}

/// Writes quarantines that start or end to the store's record, and again those that a restore has
/// lost, until the worker pool stops.
pub(crate) async fn keep_record(node: Arc<GatewayNode>) {
    loop {
        let changed = node.quarantine_changed.listen();
        if node.suspects.lock().is_restoring() {
            Timer::after(MAX_DELAY.mul_f64(rand::random())).await;
        }
        while has_news(&node) {
            let lost = node.suspects.lock().lost_count();
            let applies_all = applies_all(&node);
            let written = change_record(&node, |record| {
                let table = node.suspects.lock();
                table.update_record(record, applies_all, unix_time_s())
            });
            if written.await {
                if lost > 0 {
                    log::info!(lost; "quarantines are in the store again");
                }
                break;
            }
            Timer::after(WRITE_PAUSE).await;
        }
        changed.await;
    }
}

/// Whether this instance has changes for the record that it last read.
fn has_news(node: &GatewayNode) -> bool {
    let mut record = QuarantineRecord::default();
    let known = node
        .mirror
        .lock()
        .object(ObjectKind::Records, QuarantineRecord::NAME)
        .and_then(|object| read_record(&object).ok());
    record.requests = known.unwrap_or_default().requests;
    let applies_all = applies_all(node);
    let table = node.suspects.lock();
    table.update_record(&mut record, applies_all, unix_time_s())
}

/// Whether this instance writes also what others have found out.
fn applies_all(node: &GatewayNode) -> bool {
    node.is_leading() || node.suspects.lock().is_restoring()
}

/// Counts a trial in the store's record; returns whether this instance may run it.
pub(crate) async fn start_trial(node: &GatewayNode, identity: RequestIdentity, trial: u32) -> bool {
    let mut is_started = false;
    let written = change_record(node, |record| {
        is_started = record.start_trial(identity, trial);
        is_started
    });
    written.await && is_started
}

/// Changes the store's record if `change` says that there is something to change. Returns whether
/// the store has the result.
async fn change_record(
    node: &GatewayNode,
    mut change: impl FnMut(&mut QuarantineRecord) -> bool,
) -> bool {
    let (kind, name) = (ObjectKind::Records, QuarantineRecord::NAME);
    let mut known = node.mirror.lock().object(kind, name);
    for _ in 0..=MAX_CONFLICTS {
        let mut record = match known.as_ref().map(read_record) {
            Some(Ok(record)) => record,
            // A record that cannot be read is replaced.
            Some(Err(_)) | None => QuarantineRecord::default(),
        };
        if !change(&mut record) {
            return true;
        }
        let Ok(spec) = RecordBody::write(&StoredQuarantine::from(&record)) else {
            return false;
        };
        let written = match &known {
            Some(object) => {
                let revision = object.revision;
                node.store.replace(kind, name, revision, &spec).await
            }
            None => node.store.create(kind, name, &spec).await,
        };
        match written {
            Ok(WriteAnswer::Written(object)) => {
                node.mirror.lock().insert(kind, object.clone());
                let mut table = node.suspects.lock();
                table.apply_record(&record, object.revision, node.now());
                return true;
            }
            Ok(WriteAnswer::Conflict | WriteAnswer::Missing) => {}
            _ => return false,
        }
        match node.store.read(kind, name).await {
            Ok(object) => known = object,
            Err(_) => return false,
        }
    }
    false
}

fn unix_time_s() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_secs())
}
