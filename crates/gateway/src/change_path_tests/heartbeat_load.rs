//! What heartbeats carry besides revisions and the age, as much as their lists may hold.

use super::simulated_instance::SimulatedInstance;
use crate::{
    heartbeat_content,
    peer_heartbeat::{GrantedRange, KnownLimit, PeerHeartbeat, RecordUpdate},
    peer_worker,
    prelude::*,
    server_notices,
};

/// Time for which heartbeats tell of a change of the key record.
pub(super) const PUBLISH_TIME: Duration = Duration::from_millis(400);

fn server(number: usize) -> ServerIncarnation {
    ServerIncarnation {
        id: format!("i-{number:010x}"),
        born: 1_700_000_000_000 + number as u64,
    }
}

/// Adds the instance's changes of the key record, and in crowded times full lists.
pub(super) fn fill(heartbeat: &mut PeerHeartbeat, instance: &SimulatedInstance, is_crowded: bool) {
    let moved = if is_crowded {
        peer_worker::MAX_RANGES
    } else {
        1
    };
    let is_leader = heartbeat.leaderships.iter().any(|status| status.is_leader);
    for (base_revision, revision, _) in &instance.published {
        let moves = (0..moved).map(|number| RangeMove {
            first: number as u16 * 100,
            last: number as u16 * 100 + 99,
            owner: server(number),
            previous_released: false,
        });
        heartbeat.record_updates.push(RecordUpdate {
            service: SimulatedInstance::SERVICE.into(),
            base_revision: *base_revision,
            revision: *revision,
            delta: RecordDelta {
                moves: moves.collect(),
                ..RecordDelta::default()
            },
        });
    }
    if !is_crowded {
        return;
    }
    let limits = (0..heartbeat_content::MAX_LIMITS).map(|number| KnownLimit {
        server: server(number),
        report: LimitReport {
            per_second: Some(number as f64 + 0.5),
            age: Duration::from_millis(number as u64 * 10),
        },
    });
    heartbeat.limits = limits.collect();
    heartbeat.leaving = (0..server_notices::MAX_LEAVING).map(server).collect();
    let suspects = (0..peer_worker::MAX_SUSPECTS).map(|number| SuspectReport {
        identity: RequestIdentity(u128::MAX - number as u128),
        target: TargetHash(u64::MAX),
        is_keyed: true,
        server: IncarnationHash(u64::MAX),
        verdict: CrashVerdict::Answered,
    });
    heartbeat.suspects = suspects.collect();
    if is_leader {
        // Leaders of several services tell of all of them at once.
        for service in ["t", "u"] {
            let update = heartbeat.record_updates.first().cloned();
            heartbeat
                .record_updates
                .extend(update.map(|update| RecordUpdate {
                    service: service.into(),
                    ..update
                }));
        }
        let ranges = (0..peer_worker::MAX_RANGES).map(|number| GrantedRange {
            service: SimulatedInstance::SERVICE.into(),
            first: number as u16 * 100,
            fence: 1_000 + number as u64,
        });
        heartbeat.granted_ranges = ranges.collect();
        heartbeat.isolated = instance.peers.peers.keys().cloned().collect();
    }
}
