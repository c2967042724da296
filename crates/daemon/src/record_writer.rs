//! Writes new editions of parts' records to the store.

use crate::prelude::*;

/// Shortest and longest delay after a failed write.
const RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(500)];

/// Outcome of one attempt to write a record.
enum AttemptOutcome {
    /// The record is in the store.
    Written,
    /// The store holds this other record, of the same or a later edition.
    Superseded(PartRecord),
    /// The write must be tried again: the store did not confirm it, or does not hold the edition
    /// before.
    Retry,
}

/// Writes `record` in place of the edition before it, retrying until the outcome is known, and
/// reports the outcome to the part's elector.
pub(crate) async fn write(node: &Arc<InstanceNode>, mut record: PartRecord) {
    record.write_id = Uuid::new_v4().to_string();
    let mut backoff = RetryBackoff::new(RETRY_DELAYS[0], RETRY_DELAYS[1]);
    let outcome = loop {
        match attempt(node, &record).await {
            AttemptOutcome::Retry => {
                Timer::after(backoff.next_delay(rand::random())).await;
            }
            outcome => break outcome,
        }
    };
    let now = node.clock.now();
    let part = record.id.clone();
    let is_superseded = match outcome {
        AttemptOutcome::Written => {
            node.tables.learn_record(record.clone(), now);
            let reason = format!("term {} edition {}", record.term, record.edition);
            node.decisions.record(&part, "record written", reason);
            false
        }
        AttemptOutcome::Superseded(newer) => {
            node.tables.learn_record(newer, now);
            true
        }
        AttemptOutcome::Retry => return,
    };
    let fleet = election_worker::fleet_view(node, now);
    let steps = {
        let mut electors = node.tables.electors.lock().unwrap();
        let Some(elector) = electors.get_mut(&part) else {
            return;
        };
        match is_superseded {
            true => elector.write_failed(),
            false => elector.record_written(record, now),
        }
        elector.tick(now, &fleet);
        elector.take_steps()
    };
    election_worker::execute_steps(node, steps);
}

/// Reads the stored record and writes `record` if it is the next edition.
async fn attempt(node: &InstanceNode, record: &PartRecord) -> AttemptOutcome {
    let path = ObjectPath::part(&record.id);
    let Ok(Some(object)) = node.store.read(&path).await else {
        return AttemptOutcome::Retry;
    };
    let stored = object.decode::<PartWire>().ok();
    let Some(stored) = stored.and_then(|wire| PartRecord::try_from(wire).ok()) else {
        return AttemptOutcome::Retry;
    };
    if stored.write_id == record.write_id {
        return AttemptOutcome::Written;
    }
    if stored.edition >= record.edition {
        return AttemptOutcome::Superseded(stored);
    }
    if stored.edition + 1 < record.edition {
        return AttemptOutcome::Retry;
    }
    let condition = WriteCondition::Version(object.version);
    let wire = PartWire::from(record);
    match node
        .store
        .write(&path, condition, &wire, &record.write_id)
        .await
    {
        Ok(WriteOutcome::Written(_)) => AttemptOutcome::Written,
        Ok(WriteOutcome::Conflict) | Err(_) => AttemptOutcome::Retry,
    }
}
