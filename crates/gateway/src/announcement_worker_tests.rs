//! When an instance announces itself again after the store comes back from an older copy.

use crate::{
    announcement_worker::{self, AnnouncementStep},
    prelude::*,
    test_node, test_objects, test_store,
    update_router::UpdateSource,
};

/// Incarnation of the test's instance.
const OWN_INCARNATION: u64 = 1;

fn own_object(incarnation: u64, revision: StoreRevision) -> PlatformObject {
    let record = InstanceRecord {
        name: "a1".into(),
        incarnation,
        address: SocketAddr::from(([127, 0, 0, 1], 4)),
        feed_address: SocketAddr::from(([127, 0, 0, 1], 5)),
        relay_address: None,
        data_centre: "dc1".into(),
        processor_share: 1.0,
    };
    PlatformObject {
        name: format!("{}a1", InstanceRecord::PREFIX),
        revision,
        spec: RecordBody::write(&record).unwrap(),
        status: serde_json::Value::Null,
    }
}

fn list(node: &Arc<GatewayNode>, objects: Vec<PlatformObject>, revision: StoreRevision) {
    let kind = ObjectKind::Records;
    test_objects::apply_list(node, kind, objects, revision, UpdateSource::Peer);
}

// Guards against an instance whose record stays lost, and against one that writes without need.
#[test]
fn record_is_written_again_if_the_records_of_the_new_era_lack_it() {
    let node = Arc::new(test_node::build());
    let step = |announced_in| announcement_worker::next_step(&node, announced_in);
    test_objects::begin_era(&node, 1);
    list(&node, Vec::new(), StoreRevision::new(1, 9));
    let rest = AnnouncementStep::Rest;
    assert_eq!(step(1), rest, "its own list may be older than its record");
    test_objects::begin_era(&node, 2);
    assert_eq!(step(1), AnnouncementStep::Check);
    list(&node, Vec::new(), StoreRevision::new(2, 7));
    assert_eq!(step(1), AnnouncementStep::Write(None));
    assert_eq!(step(2), rest, "it has been written in this era");
    test_objects::begin_era(&node, 3);
    let copied = StoreRevision::new(3, 4);
    let earlier = own_object(OWN_INCARNATION - 1, copied);
    list(&node, vec![earlier], StoreRevision::new(3, 6));
    assert_eq!(step(2), AnnouncementStep::Write(Some(copied)));
    test_objects::begin_era(&node, 4);
    let present = own_object(OWN_INCARNATION, StoreRevision::new(4, 4));
    list(&node, vec![present], StoreRevision::new(4, 5));
    assert_eq!(step(3), rest);
}

// Guards against an announcement that runs once: the store's answer to a second write begins era 3.
#[test]
fn announced_instance_writes_its_record_when_a_restore_has_lost_it() {
    for is_lost in [true, false] {
        let object = own_object(OWN_INCARNATION, StoreRevision::new(1, 8));
        let written = (201, object.to_value());
        let answers = vec![(1, written.clone()), (3, written)];
        let address = test_store::start_with_eras(answers);
        let node = Arc::new(test_node::build_with_store(address));
        let watched = node.clone();
        let story = async {
            while watched.store.era().number < 1 {
                Timer::after(Duration::from_millis(10)).await;
            }
            // The announcement takes note of the answer.
            Timer::after(Duration::from_millis(200)).await;
            test_objects::begin_era(&watched, 2);
            let kept = own_object(OWN_INCARNATION, StoreRevision::new(2, 5));
            let objects = if is_lost { Vec::new() } else { vec![kept] };
            list(&watched, objects, StoreRevision::new(2, 7));
            if !is_lost {
                Timer::after(Duration::from_millis(1_800)).await;
            }
            let started_at = watched.now();
            while is_lost && watched.store.era().number < 3 {
                assert!(watched.now().since(started_at) < Duration::from_secs(10));
                Timer::after(Duration::from_millis(20)).await;
            }
            watched.store.era().number
        };
        let announcement = async {
            announcement_worker::announce(node.clone()).await;
            0
        };
        let era = node.workers.block_on(future::or(story, announcement));
        assert_eq!(era, if is_lost { 3 } else { 2 }, "{is_lost}");
    }
}
