//! What becomes of quarantines when the store comes back from an older copy.

use crate::{
    prelude::*, quarantine_writer, test_node, test_objects, test_store, update_router::UpdateSource,
};

const POISON: RequestIdentity = RequestIdentity(7);

fn record_object(trials: u32, revision: StoreRevision) -> PlatformObject {
    let mut record = QuarantineRecord::default();
    let request = QuarantinedRequest {
        target: TargetHash(1),
        is_keyed: false,
        trials,
        added_s: u64::from(u32::MAX),
    };
    record.requests.insert(POISON, request);
    PlatformObject {
        name: QuarantineRecord::NAME.into(),
        revision,
        spec: RecordBody::write(&StoredQuarantine::from(&record)).unwrap(),
        status: serde_json::Value::Null,
    }
}

fn list(node: &Arc<GatewayNode>, objects: Vec<PlatformObject>, revision: StoreRevision) {
    let kind = ObjectKind::Records;
    test_objects::apply_list(node, kind, objects, revision, UpdateSource::Store);
}

// Guards against quarantines and trials that are lost by a restore, at an instance that does not lead
// and has seen no crash itself.
#[test]
fn known_quarantine_stays_in_force_and_is_written_again() {
    let at = StoreRevision::new;
    // The store has nothing, or the quarantine without its last trial.
    for restored in [Vec::new(), vec![record_object(1, at(2, 60))]] {
        let status = if restored.is_empty() { 201 } else { 200 };
        let again = record_object(2, at(2, 81));
        let address = test_store::start(vec![(status, again.to_value())]);
        let node = Arc::new(test_node::build_with_store(address));
        test_objects::begin_era(&node, 1);
        list(&node, vec![record_object(2, at(1, 90))], at(1, 90));
        test_objects::begin_era(&node, 2);
        list(&node, restored, at(2, 80));
        let standing = node.suspects.lock().standing(POISON, node.now());
        assert!(matches!(standing, RequestStanding::Held(_)), "{standing:?}");
        assert_eq!(node.suspects.lock().lost_count(), 1);
        let watched = node.clone();
        let is_written = async {
            let started_at = watched.now();
            while watched.suspects.lock().lost_count() > 0 {
                assert!(watched.now().since(started_at) < Duration::from_secs(10));
                Timer::after(Duration::from_millis(20)).await;
            }
        };
        let writer = quarantine_writer::keep_record(node.clone());
        // The table wakes the writer when it learns of the restore; this one starts later.
        node.workers.block_on(future::or(is_written, writer));
        let name = QuarantineRecord::NAME;
        let stored = node.mirror.lock().object(ObjectKind::Records, name);
        assert_eq!(stored.map(|object| object.revision), Some(at(2, 81)));
    }
}
