//! Writing of parts' records.

use crate::prelude::*;

/// Shortest and longest pause after a failed write.
const RETRY_PAUSE: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(500)];

/// What became of one attempt.
enum WriteStep {
    Done,
    Superseded(PartRecord),
    Retry,
}

/// Writes `record` in place of the edition before it, trying until the outcome is known.
pub(crate) async fn write(node: &Arc<InstanceNode>, mut record: PartRecord) {
    record.write_id = Uuid::new_v4().to_string();
    let mut pause = RetryBackoff::new(RETRY_PAUSE[0], RETRY_PAUSE[1]);
    let outcome = loop {
        match attempt(node, &record).await {
            WriteStep::Retry => {
                Timer::after(pause.next_delay(rand::random())).await;
            }
            step => break step,
        }
    };
    let now = node.clock.now();
    let part = record.id.clone();
    let superseded = match outcome {
        WriteStep::Done => {
            node.tables.learn_part(record.clone(), now);
            let text = format!("term {} edition {}", record.term, record.edition);
            node.decisions.record(&part, "record written", text);
            false
        }
        WriteStep::Superseded(newer) => {
            node.tables.learn_part(newer, now);
            true
        }
        WriteStep::Retry => return,
    };
    let fleet = election_worker::fleet_view(node, now);
    let steps = {
        let mut electors = node.tables.electors.lock().unwrap();
        let Some(elector) = electors.get_mut(&part) else {
            return;
        };
        match superseded {
            true => elector.write_failed(),
            false => elector.record_written(record, now),
        }
        elector.tick(now, &fleet);
        elector.take_steps()
    };
    election_worker::execute_steps(node, steps);
}

async fn attempt(node: &InstanceNode, record: &PartRecord) -> WriteStep {
    let path = ObjectPath::part(&record.id);
    let Ok(Some(object)) = node.store.read(&path).await else {
        return WriteStep::Retry;
    };
    let stored = object.decode::<PartWire>().ok();
    let Some(stored) = stored.and_then(|wire| PartRecord::try_from(wire).ok()) else {
        return WriteStep::Retry;
    };
    if stored.write_id == record.write_id {
        return WriteStep::Done;
    }
    if stored.edition >= record.edition {
        return WriteStep::Superseded(stored);
    }
    if stored.edition + 1 < record.edition {
        return WriteStep::Retry;
    }
    let condition = WriteCondition::Version(object.version);
    let wire = PartWire::from(record);
    match node
        .store
        .write(&path, condition, &wire, &record.write_id)
        .await
    {
        Ok(WriteOutcome::Written(_)) => WriteStep::Done,
        Ok(WriteOutcome::Conflict) | Err(_) => WriteStep::Retry,
    }
}
