//! Objects and updates of the store for tests.

use crate::{
    feed_request::FeedRequest,
    mirror_delta::MirrorDelta,
    object_mirror::OBJECT_KINDS,
    prelude::*,
    update_router::{self, UpdateSource},
};

/// What the sender of a request lacks of a mirror.
pub(crate) fn deltas(mirror: &ObjectMirror, request: &FeedRequest) -> Vec<MirrorDelta> {
    let deltas = OBJECT_KINDS.map(|kind| mirror.delta(kind, request));
    deltas.into_iter().flatten().collect()
}

/// Configuration of a version, with services without keys and no routes.
pub(crate) fn route_table(version: u64, services: &[&str]) -> RouteTable {
    let services = services.iter().map(|name| {
        let config = ServiceConfig {
            name: (*name).into(),
            health_path: "/health".into(),
            max_connections: 1,
            keyed: false,
            warmup: Duration::ZERO,
            cold_time: Duration::ZERO,
            cold_rate: None,
        };
        ((*name).into(), config)
    });
    let limits = RequestLimits {
        max_head_bytes: 16 << 10,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RouteTable::new(version, IndexMap::new(), services.collect(), limits)
}

/// Entry of the server `s1` of the service `s`, which does not count its writes.
pub(crate) fn server_entry(state: ServerState) -> ServerEntry {
    ServerEntry {
        incarnation: ServerIncarnation {
            id: "s1".into(),
            born: 1,
        },
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "dc1".into(),
        slots: 4,
        state,
        warmup_left: Duration::ZERO,
        sequence: None,
    }
}

/// Entry of the first incarnation of a ready server of the service `s`.
pub(crate) fn ready_entry(id: &str) -> ServerEntry {
    ServerEntry {
        incarnation: ServerIncarnation {
            id: id.into(),
            born: 1,
        },
        ..server_entry(ServerState::Ready)
    }
}

/// The server `s1` with a service time of 0.1 s, at `address`.
pub(crate) fn server_at(node: &GatewayNode, address: SocketAddr) -> Arc<ServerRuntime> {
    let entry = ServerEntry {
        address,
        ..server_entry(ServerState::Ready)
    };
    Arc::new(ServerRuntime::new(&node.workers, entry, 0.1, node.now()))
}

/// Has an instance learn the entry of a server.
pub(crate) fn put_server(node: &GatewayNode, entry: &ServerEntry, revision: u64) {
    let change = RosterChange::Updated(Box::new(entry.clone()), revision.into());
    node.roster.lock().apply(change, node.now(), Duration::ZERO);
    node.refresh_servers();
}

/// Object of a server's entry.
pub(crate) fn server_object(entry: &ServerEntry, revision: StoreRevision) -> PlatformObject {
    let (spec, status) = ServerBody::write(entry);
    PlatformObject {
        name: entry.incarnation.id.clone(),
        revision,
        spec,
        status,
    }
}

/// Applies a list of all objects of a kind.
pub(crate) fn apply_list(
    node: &Arc<GatewayNode>,
    kind: ObjectKind,
    objects: Vec<PlatformObject>,
    revision: StoreRevision,
    source: UpdateSource,
) {
    let page = ObjectPage {
        objects,
        next: None,
        revision,
    };
    update_router::apply(node, kind, StoreUpdate::List(page), source);
}

/// Has an instance hear of a new era of the store.
pub(crate) fn begin_era(node: &GatewayNode, number: u64) {
    let stated = number;
    node.store.learn_era(StoreEra { number, stated });
}
