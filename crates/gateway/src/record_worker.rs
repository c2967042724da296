//! Following the project's own records: who holds which keys, and which instances there are.

use crate::prelude::*;

/// Pause before an instance's record is written again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Takes news of the records in.
pub(crate) fn apply(node: &GatewayNode, news: StoreUpdate) {
    let events = match news {
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
        take(node, &event);
    }
}

/// Takes one record in.
pub(crate) fn take(node: &GatewayNode, event: &ObjectEvent) {
    let object = &event.object;
    let result = match (
        object.name.strip_prefix(KeyView::PREFIX),
        object.name.strip_prefix(InstanceRecord::PREFIX),
    ) {
        (Some(_), _) if event.is_removed => Ok(()),
        (Some(service), _) => take_keys(node, service, object),
        (None, Some(name)) if event.is_removed => {
            node.peers.lock().unwrap().forget(name);
            Ok(())
        }
        (None, Some(_)) => take_instance(node, object),
        (None, None) => Ok(()),
    };
    if let Err(fault) = result {
        log::warn!(
            record = object.name.as_str(),
            object_revision = object.revision,
            cause = fault.to_string().as_str();
            "record cannot be read and is left out"
        );
    }
}

fn take_keys(node: &GatewayNode, service: &str, object: &PlatformObject) -> Result<(), BodyError> {
    let record = read_keys(object)?;
    adopt(node, service, record, object.revision);
    Ok(())
}

/// Key record of an object.
pub(crate) fn read_keys(object: &PlatformObject) -> Result<KeyRecord, BodyError> {
    let wire: StoredRecord = RecordBody::read(object)?;
    KeyRecord::try_from(wire).map_err(|fault| BodyError(fault.to_string()))
}

/// Takes a key record in, and tells who waits for it.
pub(crate) fn adopt(node: &GatewayNode, service: &str, record: KeyRecord, revision: u64) {
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
        let before = view.leader.record().map_or(0, |(record, _)| record.term);
        let is_new = view.leader.adopt(record, revision, now);
        if is_new && before != term {
            view.led_since = now;
        }
        is_new.then_some(before)
    });
    let Some(before) = adopted else { return };
    if before != term {
        log::info!(
            service,
            leader = leader.instance.as_str(),
            term,
            revision;
            "leader of the keys"
        );
    }
    if node.log.allow("keys", now) {
        log::info!(service, revision, ranges, moving; "key record in force");
    }
    node.keys_changed.notify(usize::MAX);
}

fn take_instance(node: &GatewayNode, object: &PlatformObject) -> Result<(), BodyError> {
    let record: InstanceRecord = RecordBody::read(object)?;
    let mut peers = node.peers.lock().unwrap();
    peers.put(record, object.revision, node.now());
    Ok(())
}

/// Writes this instance's own record until it stands in the store.
pub(crate) async fn announce(node: Arc<GatewayNode>) {
    let record = InstanceRecord {
        name: node.settings.name.clone(),
        incarnation: node.own_incarnation.incarnation,
        address: node.settings.peer_address,
        feed_address: node.settings.feed_address,
        data_centre: node.settings.data_centre.clone(),
        processor_share: node.settings.processor_share,
    };
    let name = format!("{}{}", InstanceRecord::PREFIX, record.name);
    let Ok(spec) = RecordBody::write(&record) else {
        return;
    };
    loop {
        match announce_once(&node, &name, &spec).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                if node.log.allow("announce", node.now()) {
                    log::warn!(cause = error.to_string().as_str(); "instance not announced yet");
                }
            }
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

async fn announce_once(
    node: &GatewayNode,
    name: &str,
    spec: &serde_json::Value,
) -> Result<bool, StoreCallError> {
    let kind = ObjectKind::Records;
    let created = node
        .store
        .write(StoreRequest::create(kind, name, spec))
        .await?;
    if let WriteAnswer::Written(_) = created {
        return Ok(true);
    }
    let Some(object) = node.store.read(kind, name).await? else {
        return Ok(false);
    };
    let replaced = node
        .store
        .write(StoreRequest::replace(kind, name, object.revision, spec))
        .await?;
    Ok(matches!(replaced, WriteAnswer::Written(_)))
}
