//! Changes of a configuration with many routes, on narrow links.

use super::{
    change_checker::ChangeChecker,
    change_world::ChangeWorld,
    path_settings::PathSettings,
    simulated_store::StoreAnswer,
    world_fault::{FaultTarget, WorldFault},
};
use crate::prelude::*;
use serde_json::{Value, json};

/// Rate of a link of 10 Mbit/s, in bytes per second.
const NARROW_LINK: u64 = 10_000_000 / 8;

impl ChangeWorld {
    /// Length of one route as text, about, in bytes.
    const ROUTE_BYTES: usize = 150;

    /// Content of the configuration. Each write sends another route to another service.
    pub(super) fn configuration_spec(&self, write: u64) -> Value {
        let route = |number: usize| {
            let is_moved = number as u64 <= write;
            json!({
                "name": format!("r-{:07x}", number * 7_919),
                "prefix": format!("/{:06x}/", number * 104_729),
                "service": if is_moved { "records" } else { "viewer" },
                "timeout": 2.5,
                "attempts": 2,
                "rank": number % 3,
                "idempotent": true,
            })
        };
        match self.settings.routes {
            0 => json!({ "write": write }),
            routes => json!({
                "write": write,
                "routes": (0..routes).map(route).collect::<Vec<Value>>(),
            }),
        }
    }

    /// Bytes of the configurations in an answer of the store, about; other objects count for none.
    pub(super) fn configuration_bytes(&self, answer: &StoreAnswer) -> usize {
        let is_configuration =
            |object: &PlatformObject| object.name == ObjectKind::CONFIGURATION_NAME;
        let count = match answer {
            StoreAnswer::List(page) => {
                let objects = page.objects.iter();
                objects.filter(|object| is_configuration(object)).count()
            }
            // A watch tells the last state of an object only.
            StoreAnswer::Changes(changes) => {
                let mut events = changes.events.iter();
                usize::from(events.any(|event| is_configuration(&event.object)))
            }
            _ => 0,
        };
        count * self.settings.routes * Self::ROUTE_BYTES
    }
}

/// Settings of a run with narrow links and a change of the configuration each 0.4 s.
fn storm(instances: usize, routes: usize, changes: u32) -> PathSettings {
    let configure = |number| {
        let at = Duration::from_secs(3) + Duration::from_millis(400) * number;
        (at, WorldFault::Configure)
    };
    PathSettings {
        script: (0..changes).map(configure).collect(),
        changes: 0,
        duration: Duration::from_secs(6) + Duration::from_millis(400) * changes,
        routes,
        link_rate: Some(NARROW_LINK),
        ..PathSettings::calm(0, instances)
    }
}

/// Runs a storm and prints what it has shown.
fn run(settings: PathSettings) -> ChangeChecker {
    let checker = ChangeWorld::new(settings).run();
    println!("{checker}, {} bytes", checker.sent_bytes);
    assert!(checker.checks > 0);
    checker
}

// Guards against changes that are late since each of them sends the whole configuration to all
// instances, and since a transfer that takes longer than the wait for a reply is begun anew.
#[test]
fn changes_of_a_large_configuration_are_in_force_in_time_on_narrow_links() {
    for (instances, changes) in [(60, 8), (300, 2)] {
        let checker = run(storm(instances, 2_825, changes));
        assert!(checker.violations.is_empty(), "{:?}", checker.violations);
    }
}

// Guards against a cost of changes that grows with what they do not change.
#[test]
fn bytes_of_a_change_do_not_grow_with_the_configuration() {
    let bytes = [10, 2_825].map(|routes| run(storm(24, routes, 4)).sent_bytes);
    assert!(bytes[1] < bytes[0] * 2, "{bytes:?} bytes");
}

// Guards against a change that is late since it is large itself.
#[test]
fn many_routes_that_are_added_at_once_are_in_force_in_time_on_narrow_links() {
    let mut settings = storm(60, 1_400, 1);
    let add = |number: u64| {
        let at = Duration::from_secs(4 + 3 * number);
        (at, WorldFault::AddRoutes(1_400))
    };
    settings.script.extend((0..2).map(add));
    settings.duration = Duration::from_secs(12);
    let checker = run(settings);
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
}

// Guards against instances that start together and get the configuration too late, each from the
// beginning again and again.
#[test]
fn large_configuration_reaches_instances_that_start_together() {
    let kill = |index| {
        let fault = WorldFault::Kill(FaultTarget::Instance(index), Duration::from_secs(1));
        (Duration::from_secs(4), fault)
    };
    let mut settings = storm(60, 2_825, 8);
    settings.script.extend((24..60).map(kill));
    let checker = run(settings);
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
}
