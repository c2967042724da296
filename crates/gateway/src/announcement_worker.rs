//! Announces this instance by its record in the store, and again when the store has lost the record by
//! a restore from an older copy.

use crate::{object_mirror::position_of, prelude::*};

/// Delay before a failed write of the record is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time between two checks whether the records of a new era are known.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest delay before the record is written again, so that many instances do not write at once.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// What an instance does about its record.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AnnouncementStep {
    /// Nothing before the next era begins: the store has it.
    Rest,
    /// Check again later: the records of the era in force are not known yet.
    Check,
    /// Write it. Holds the revision of the record that the store has instead, if there is one.
    Write(Option<StoreRevision>),
}

/// Writes this instance's record to the store, and keeps it there, until the worker pool stops.
pub(crate) async fn announce(node: Arc<GatewayNode>) {
    let record = own_record(&node);
    let Ok(spec) = RecordBody::write(&record) else {
        return;
    };
    let mut announced_in = write(&node, &spec, None).await;
    loop {
        let begun = node.store.eras.begun.listen();
        match next_step(&node, announced_in) {
            AnnouncementStep::Rest => begun.await,
            AnnouncementStep::Check => {
                Timer::after(CHECK_INTERVAL).await;
            }
            AnnouncementStep::Write(_) => {
                Timer::after(MAX_DELAY.mul_f64(rand::random())).await;
                if let AnnouncementStep::Write(known) = next_step(&node, announced_in) {
                    announced_in = write(&node, &spec, known).await;
                    log::info!(era = announced_in; "instance announced again");
                }
            }
        }
    }
}

/// What to do about a record that was written last in the era with the number `announced_in`, by what
/// is known of the store's records.
pub(crate) fn next_step(node: &GatewayNode, announced_in: u64) -> AnnouncementStep {
    let kind = ObjectKind::Records;
    let era = node.store.era().number;
    if announced_in >= era {
        return AnnouncementStep::Rest;
    }
    let mirror = node.mirror.lock();
    if mirror.synced_revisions()[position_of(kind)].era < era {
        return AnnouncementStep::Check;
    }
    let Some(object) = mirror.object(kind, &object_name(node)) else {
        return AnnouncementStep::Write(None);
    };
    let record: Result<InstanceRecord, BodyError> = RecordBody::read(&object);
    let is_present =
        record.is_ok_and(|record| record.incarnation >= node.own_incarnation.incarnation);
    match is_present {
        true => AnnouncementStep::Rest,
        false => AnnouncementStep::Write(Some(object.revision)),
    }
}

fn own_record(node: &GatewayNode) -> InstanceRecord {
    InstanceRecord {
        name: node.settings.name.clone(),
        incarnation: node.own_incarnation.incarnation,
        address: node.settings.peer_address,
        feed_address: node.settings.feed_address,
        relay_address: node.settings.relay_address,
        data_centre: node.settings.data_centre.clone(),
        processor_share: node.settings.processor_share,
    }
}

fn object_name(node: &GatewayNode) -> String {
    format!("{}{}", InstanceRecord::PREFIX, node.settings.name)
}

/// Writes the record and retries until it succeeds; returns the number of the era that has it.
async fn write(node: &GatewayNode, spec: &serde_json::Value, known: Option<StoreRevision>) -> u64 {
    loop {
        match write_once(node, spec, known).await {
            Ok(Some(era)) => return era,
            Ok(None) => {}
            Err(error) => {
                if node.log.allow("announce", node.now()) {
                    log::warn!(cause = error.to_string().as_str(); "instance not announced yet");
                }
            }
        }
        Timer::after(RETRY_DELAY).await;
    }
}

async fn write_once(
    node: &GatewayNode,
    spec: &serde_json::Value,
    known: Option<StoreRevision>,
) -> Result<Option<u64>, StoreCallError> {
    let (kind, name) = (ObjectKind::Records, object_name(node));
    let first = match known {
        Some(revision) => node.store.replace(kind, &name, revision, spec).await?,
        None => node.store.create(kind, &name, spec).await?,
    };
    if let WriteAnswer::Written(object) = first {
        return Ok(Some(object.revision.era));
    }
    let Some(found) = node.store.read(kind, &name).await? else {
        return Ok(None);
    };
    let replaced = node.store.replace(kind, &name, found.revision, spec);
    match replaced.await? {
        WriteAnswer::Written(object) => Ok(Some(object.revision.era)),
        _ => Ok(None),
    }
}
