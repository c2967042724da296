//! Servers that begin to leave between their selection and the sending of the request.

use crate::{prelude::*, server_reservation::ServerReservation, test_node, test_objects};

const DRAIN_TIME: Duration = Duration::from_millis(1_600);
const BOUNDS: LeavingBounds = LeavingBounds {
    drain_time: DRAIN_TIME,
    evacuation_time: Duration::MAX,
};

fn reservation(node: &GatewayNode, key_revision: Option<StoreRevision>) -> ServerReservation {
    let address = test_objects::server_entry(ServerState::Ready).address;
    let server = test_objects::server_at(node, address);
    reservation_of(node, &server, key_revision)
}

/// Reservation of a server of the service `s` with a free slot.
pub(crate) fn reservation_of(
    node: &GatewayNode,
    server: &Arc<ServerRuntime>,
    key_revision: Option<StoreRevision>,
) -> ServerReservation {
    ServerReservation {
        server: server.clone(),
        reserved_at: node.now(),
        was_full: false,
        has_token: false,
        is_cold: false,
        key_revision,
        service_state: node.service("s"),
        clock: node.clock,
    }
}

// Guards against a request that reaches a server after its drain time, since connecting took long.
#[test]
fn server_that_has_begun_to_leave_gets_no_request_that_was_reserved_before() {
    let node = test_node::build();
    let at = node.now();
    for (key_revision, later, is_allowed) in [
        (None, Duration::ZERO, false),
        (Some(1), Duration::from_millis(1_599), true),
        (Some(1), DRAIN_TIME, false),
    ] {
        let reservation = reservation(&node, key_revision.map(StoreRevision::from));
        assert!(reservation.is_still_allowed(at, BOUNDS));
        reservation.server.mark_leaving(at);
        let result = reservation.is_still_allowed(at.after(later), BOUNDS);
        assert_eq!(result, is_allowed, "{key_revision:?} {later:?}");
    }
}
