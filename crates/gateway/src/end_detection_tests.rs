//! Which entries of service discovery prove that the holder of keys has ended.

use crate::{end_detection, order_sender, prelude::*, test_http, test_node, test_objects};
use std::{io::BufReader, sync::mpsc};

/// Instance whose configuration names the services `s` and `t`, with the server `s1` of `s`.
fn node_with_holder() -> (GatewayNode, ServerEntry) {
    let node = test_node::build();
    let table = test_objects::route_table(1, &["s", "t"]);
    node.install_routes(table, 1.into());
    let holder = test_objects::server_entry(ServerState::Ready);
    test_objects::put_server(&node, &holder, 2);
    (node, holder)
}

fn status_beside(other: &ServerEntry) -> IncarnationStatus {
    let (node, holder) = node_with_holder();
    test_objects::put_server(&node, other, 3);
    end_detection::incarnation_status(&node, &holder.incarnation).0
}

fn entry_of(service: &str, id: &str) -> ServerEntry {
    ServerEntry {
        incarnation: ServerIncarnation {
            id: id.into(),
            born: 2,
        },
        service: service.into(),
        ..test_objects::server_entry(ServerState::Ready)
    }
}

// Guards against two holders of the same keys: an entry of another writer, of a service that the
// configuration does not name, lies at the address of a living server and proves nothing.
#[test]
fn entry_of_an_unnamed_service_is_no_proof_that_a_server_has_ended() {
    for id in ["another", "s1"] {
        let status = status_beside(&entry_of("another-teams-service", id));
        assert_eq!(status, IncarnationStatus::Alive, "{id}");
    }
}

// Guards against keys of a lost server that wait for the end of its grants although its address has
// gone to a server of another service.
#[test]
fn entry_of_a_named_service_at_the_address_is_a_proof() {
    assert_eq!(status_beside(&entry_of("t", "t1")), IncarnationStatus::Dead);
    assert_eq!(
        status_beside(&entry_of("s", "s1")),
        IncarnationStatus::Replaced
    );
}

// Guards against two holders of the same keys: an instance that started after the holder of keys had
// started again has never known its earlier incarnation, and grants the keys on without a release.
#[test]
fn server_that_started_again_unseen_is_asked_for_a_release() {
    /// Longest wait for the release.
    const PATIENCE: Duration = Duration::from_secs(10);
    let (sender, received) = mpsc::channel();
    let address = test_http::accept_each(move |stream| {
        let head = test_http::read_head(&mut BufReader::new(stream));
        let _ = sender.send(head.is_some());
    });
    let node = test_node::build();
    let table = test_objects::route_table(1, &["s"]);
    node.install_routes(table, 1.into());
    let unseen = test_objects::server_entry(ServerState::Ready).incarnation;
    let present = ServerEntry {
        address,
        ..entry_of("s", &unseen.id)
    };
    test_objects::put_server(&node, &present, 3);
    let status = end_detection::incarnation_status(&node, &unseen).0;
    assert_eq!(status, IncarnationStatus::Replaced);

    let range = KeyRange {
        first: 0,
        last: 9,
        owner: present.incarnation,
        fence: 3,
        state: RangeState::Moving {
            previous: Some(unseen.clone()),
        },
    };
    let step = MoveStep::Release {
        range,
        holder: unseen,
    };
    let node = Arc::new(node);
    let work = order_sender::run_move_step(node.clone(), "s".into(), step);
    node.workers.block_on(work);
    assert_eq!(received.recv_timeout(PATIENCE), Ok(true));
}
