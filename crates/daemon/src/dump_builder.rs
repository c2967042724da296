//! Builds the dump, the status and the explanation of a key from an instance's state.

use crate::{dump_wire::*, feed_worker, metric_worker, prelude::*};

/// Largest number of parts in one dump.
const MAX_PARTS: usize = 512;
/// Largest number of slices of one part in a dump.
const MAX_SLICES: usize = 1_024;
/// Largest number of servers, and of peers, in one dump.
const MAX_ROWS: usize = 4_096;

/// Dump of the entire state, within the limits above.
pub(crate) fn dump(node: &InstanceNode) -> DumpWire {
    let (revision, preset) = {
        let gate = node.tables.gate.lock().unwrap();
        let preset = gate.head().map(|head| head.preset.clone());
        (gate.revision(), preset.unwrap_or_default())
    };
    let parts = parts(node);
    let servers = servers(node);
    let peers = peers(node);
    let truncated = parts.len() >= MAX_PARTS
        || servers.len() >= MAX_ROWS
        || peers.len() >= MAX_ROWS
        || parts.iter().any(|part| part.slices.len() >= MAX_SLICES);
    DumpWire {
        instance: node.id.to_string(),
        data_centre: node.settings.data_centre.clone(),
        revision,
        preset,
        ready: node.is_ready(),
        draining: node.is_draining(),
        in_flight: node.in_flight(),
        connections: ConnectionDump {
            callers: node.connections.callers.count(),
            operators: node.connections.operators.count(),
            peers: node.connections.peers.count(),
            refused: node.connections.refused(),
        },
        store: StoreDump {
            state: node.store.state().as_str().into(),
            calls: node.store.calls(),
        },
        feed: feed(node),
        queues: servers
            .iter()
            .filter(|server| server.queued > 0)
            .map(|server| QueueDump {
                server: server.server.clone(),
                waiting: server.queued,
            })
            .collect(),
        budgets: vec![BudgetDump {
            budget: "store-calls".into(),
            left: node.store.budget_left(),
        }],
        parts,
        servers,
        peers,
        decisions: node
            .decisions
            .latest(None, crate::decision_log::DecisionLog::MAX_ENTRIES),
        truncated,
    }
}

fn feed(node: &InstanceNode) -> FeedDump {
    let progress = node.feed.progress();
    let contact_times = node.feed.contact_times();
    let now = node.clock.now();
    FeedDump {
        watches: feed_worker::is_watcher(node),
        cut_off: node.is_cut_off(),
        complete: progress.complete.0,
        newest: progress.newest.0,
        store_heard_ms: now.since(contact_times.store).as_millis() as u64,
        peer_heard_ms: now.since(contact_times.peer).as_millis() as u64,
        bytes_in: node.feed.bytes_in.load(Ordering::Relaxed),
        bytes_out: node.feed.bytes_out.load(Ordering::Relaxed),
    }
}

/// Summary of the state, without slices and decisions.
pub(crate) fn status(node: &InstanceNode) -> StatusWire {
    let dump = dump(node);
    StatusWire {
        unavailable_slices: metric_worker::count_led(node).1,
        parts: dump.parts.iter().map(PartStatus::from).collect(),
        instance: dump.instance,
        data_centre: dump.data_centre,
        revision: dump.revision,
        preset: dump.preset,
        ready: dump.ready,
        draining: dump.draining,
        in_flight: dump.in_flight,
        store: dump.store,
        servers: dump.servers,
        peers: dump.peers,
    }
}

/// Explains where `key` of `service` is served; `None` if its service or part is unknown here.
pub(crate) fn explain(node: &InstanceNode, service: &str, key: &str) -> Option<ExplainWire> {
    let service = ServiceName::new(service);
    let hash = KeyHash::of(key);
    let parts = {
        let gate = node.tables.gate.lock().unwrap();
        gate.head()?.services.get(&service)?.parts
    };
    let id = PartId::new(service.clone(), hash.part_index(parts));
    let known = node.tables.parts.lock().unwrap().get(&id)?.record.clone();
    let part = part_dump(node, &known);
    let index = known
        .slices
        .partition_point(|entry| entry.start <= hash.0)
        .checked_sub(1);
    Some(ExplainWire {
        service: service.to_string(),
        key_hash: hash.to_string(),
        part: part.part.clone(),
        term: part.term,
        edition: part.edition,
        leader: part.leader,
        standbys: part.standbys,
        led_here: part.led_here,
        slice: index.and_then(|index| part.slices.get(index).cloned()),
        decisions: node.decisions.latest(Some(&part.part), 16),
    })
}

/// Parts known to this instance, sorted by id.
pub(crate) fn parts(node: &InstanceNode) -> Vec<PartDump> {
    let records: Vec<PartRecord> = {
        let known = node.tables.parts.lock().unwrap();
        let records = known.values().take(MAX_PARTS);
        records.map(|known| known.record.clone()).collect()
    };
    let mut parts: Vec<_> = records
        .iter()
        .map(|record| part_dump(node, record))
        .collect();
    parts.sort_by(|left, right| left.part.cmp(&right.part));
    parts
}

fn part_dump(node: &InstanceNode, record: &PartRecord) -> PartDump {
    let now = node.clock.now();
    let led = node.tables.led_parts.lock().unwrap();
    let led_part = led.get(&record.id);
    let slices = record.ranges().take(MAX_SLICES).map(|(range, entry)| {
        let until = led_part.and_then(|part| {
            let owner = entry.owner.as_ref()?;
            part.grants.granted_until(owner, KeyHash(range.start))
        });
        SliceDump {
            start: KeyHash(range.start).to_string(),
            end: KeyHash(range.end).to_string(),
            owner: entry.owner.as_ref().map(ToString::to_string),
            fence: record.fence().to_string(),
            grant_left_ms: until.map(|until| until.since(now).as_millis() as u64),
        }
    });
    PartDump {
        part: record.id.to_string(),
        term: record.term,
        edition: record.edition,
        leader: record.leader.to_string(),
        standbys: record.standbys.iter().map(ToString::to_string).collect(),
        led_here: led_part.is_some(),
        lease_left_ms: led_part.map(|part| part.lease_until.since(now).as_millis() as u64),
        slices: slices.collect(),
    }
}

/// Declared servers with the load that this instance causes.
pub(crate) fn servers(node: &InstanceNode) -> Vec<ServerDump> {
    let gate = node.tables.gate.lock().unwrap();
    let Some(head) = gate.head() else {
        return Vec::new();
    };
    head.services
        .iter()
        .flat_map(|(service, declaration)| {
            declaration
                .servers
                .iter()
                .map(move |server| (service, server))
        })
        .take(MAX_ROWS)
        .map(|(service, server)| ServerDump {
            service: service.to_string(),
            server: server.name.to_string(),
            data_centre: server.data_centre.clone(),
            state: match head.is_drained(&server.name) {
                true => "drained",
                false => "active",
            }
            .into(),
            running: node.slots.running(&server.name),
            queued: node.slots.waiting(&server.name),
            slots: server.slots,
            reported_busy: None,
        })
        .collect()
}

/// Other registered instances.
pub(crate) fn peers(node: &InstanceNode) -> Vec<PeerDump> {
    let instances = node.tables.instances.lock().unwrap();
    instances
        .values()
        .filter(|record| record.id != node.id)
        .take(MAX_ROWS)
        .map(|record| PeerDump {
            revision: node.feed.peer_revision(&record.id.name),
            ..PeerDump::from(record)
        })
        .collect()
}
