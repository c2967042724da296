//! Evacuations of data centres by an operator, and the schedule of them.

use crate::{evacuation_checker::EvacuationPeriod, prelude::*};

/// Data centres of the servers of a run with evacuations, in turn.
const DATA_CENTRES: [&str; 3] = ["dc1", "dc2", "dc3"];

/// Data centre of the server with a number.
pub(crate) fn data_centre_of(plan: &SoakPlan, number: u64) -> &'static str {
    match plan.scenario {
        FaultScenario::Evacuations => DATA_CENTRES[number as usize % DATA_CENTRES.len()],
        _ => DATA_CENTRES[0],
    }
}

/// Writes the evacuation of a data centre into the store, and removes it after `duration`.
pub(crate) async fn evacuate(world: &SoakWorld, data_centre: &'static str, duration: Duration) {
    let (kind, spec) = (ObjectKind::Evacuations, serde_json::Value::Null);
    world.store.put(kind, data_centre, spec.clone(), spec);
    let from = SteadyClock.now();
    Timer::after(duration).await;
    let until = SteadyClock.now();
    world
        .store
        .update(|objects| objects.remove(kind, data_centre));
    let registered = world.registered.lock().unwrap();
    let servers = registered
        .iter()
        .filter(|server| server.data_centre == data_centre);
    let servers = servers.map(|server| server.id.clone()).collect();
    let mut evacuations = world.ledger.evacuations.lock().unwrap();
    evacuations.push(EvacuationPeriod {
        servers,
        from,
        until,
    });
}

impl FaultEvent {
    /// Rounds of an evacuation during which instances are lost and start, and of two that overlap.
    pub(crate) fn evacuations(plan: &SoakPlan) -> Vec<(Duration, Self)> {
        const ROUND: Duration = Duration::from_secs(22);
        let mut events = Vec::new();
        let mut at = Duration::ZERO;
        let mut instance = plan.seed as usize;
        while at < plan.fault_duration {
            let kill = |number, downtime_ms| Self::Kill(number, Duration::from_millis(downtime_ms));
            let evacuate =
                |data_centre, seconds| Self::Evacuate(data_centre, Duration::from_secs(seconds));
            let round = [
                (0, evacuate(DATA_CENTRES[1], 9)),
                (700, kill(instance, 1_000)),
                (6_000, kill(instance + 1, 500)),
                (11_000, evacuate(DATA_CENTRES[2], 8)),
                (12_000, evacuate(DATA_CENTRES[1], 8)),
            ];
            events.extend(round.map(|(ms, event)| (at + Duration::from_millis(ms), event)));
            at += ROUND;
            instance += 1;
        }
        events
    }
}
