//! Keeps key records and instance records up to date with the store.

use crate::{prelude::*, quarantine_writer};

/// Applies an update of the records.
pub(crate) fn apply(node: &GatewayNode, update: StoreUpdate) {
    if let StoreUpdate::List(page) = &update {
        let mut objects = page.objects.iter();
        if !objects.any(|object| object.name == QuarantineRecord::NAME) {
            quarantine_writer::apply_missing_record(node, page.revision);
        }
    }
    let events = match update {
        StoreUpdate::List(page) => page
            .objects
            .into_iter()
            .map(|object| ObjectEvent {
                object,
                is_removed: false,
            })
            .collect(),
        StoreUpdate::Changes(changes) => changes.events,
    };
    for event in events {
        apply_event(node, &event);
    }
}

/// Applies the change of one record.
pub(crate) fn apply_event(node: &GatewayNode, event: &ObjectEvent) {
    let object = &event.object;
    let result = match (
        object.name.strip_prefix(KeyView::PREFIX),
        object.name.strip_prefix(InstanceRecord::PREFIX),
    ) {
        (Some(_), _) if event.is_removed => Ok(()),
        (None, None) if object.name == QuarantineRecord::NAME => match event.is_removed {
            true => {
                quarantine_writer::apply_missing_record(node, object.revision);
                Ok(())
            }
            false => quarantine_writer::apply_record(node, object),
        },
        (Some(service), _) => apply_key_record(node, service, object),
        (None, Some(name)) if event.is_removed => {
            let mut peers = node.peers.lock();
            peers.remove(name, object.revision, node.now());
            Ok(())
        }
        (None, Some(_)) => apply_instance_record(node, object),
        (None, None) => Ok(()),
    };
    if let Err(error) = result {
        log::warn!(
            record = object.name.as_str(),
            object_revision:% = object.revision,
            cause = error.to_string().as_str();
            "record cannot be read and is left out"
        );
    }
}

fn apply_key_record(
    node: &GatewayNode,
    service: &str,
    object: &PlatformObject,
) -> Result<(), BodyError> {
    let record = read_key_record(object)?;
    adopt(node, service, record, object.revision);
    Ok(())
}

/// Parses the key record of an object.
pub(crate) fn read_key_record(object: &PlatformObject) -> Result<KeyRecord, BodyError> {
    let stored: StoredRecord = RecordBody::read(object)?;
    KeyRecord::try_from(stored).map_err(|error| BodyError(error.to_string()))
}

/// Adopts a key record if it is newer than the known one, and notifies the tasks that wait for it.
pub(crate) fn adopt(node: &GatewayNode, service: &str, record: KeyRecord, revision: StoreRevision) {
    let now = node.now();
    let leader = record.leader.clone();
    let term = record.term;
    let ranges = record.ranges.len();
    let moving = record
        .ranges
        .iter()
        .filter(|range| !range.is_settled())
        .count();
    let adopted = node.with_key_view(service, |view| {
        let known = view.leader.record().map(|(record, _)| record.clone());
        let before = known.as_ref().map_or(0, |record| record.term);
        view.leader.learn_era(node.store.era().number);
        let is_new = view.leader.adopt(record, revision, now);
        if is_new && before != term {
            view.led_since = now;
            if let Some(known) = known {
                view.carry_granted_ranges(&known);
            }
        }
        is_new.then_some(before)
    });
    let Some(before) = adopted else { return };
    if before != term {
        log::info!(
            service,
            leader = leader.instance.as_str(),
            term,
            revision:%;
            "leader of the keys"
        );
    }
    if node.log.allow("keys", now) {
        log::info!(service, revision:%, ranges, moving; "key record in force");
    }
    node.keys_changed.notify(usize::MAX);
}

fn apply_instance_record(node: &GatewayNode, object: &PlatformObject) -> Result<(), BodyError> {
    let record: InstanceRecord = RecordBody::read(object)?;
    let mut peers = node.peers.lock();
    peers.insert(record, object.revision, node.now());
    Ok(())
}
