//! Tests of what the operator and the servers write again after a drill.

use crate::{prelude::*, soak_routes};

/// Platform without instances, with one server in each service.
fn start_world() -> Arc<SoakWorld> {
    let plan = SoakPlan {
        instances: 0,
        servers: 1,
        ..SoakPlan::new(1, Path::new(""), Path::new(""))
    };
    future::block_on(SoakWorld::build(&plan)).unwrap()
}

/// Names of the objects of a kind that the store contains.
fn names(world: &SoakWorld, kind: ObjectKind) -> Vec<String> {
    let objects = world.store.objects.lock().unwrap();
    let mut page = objects.list(kind, None);
    let mut names = Vec::new();
    loop {
        names.extend(page.objects.into_iter().map(|known| known.name));
        match page.next {
            Some(after) => page = objects.list(kind, Some(&after)),
            None => return names,
        }
    }
}

#[test]
fn drill_ends_with_what_the_operator_and_the_servers_last_wrote() {
    let world = start_world();
    let ended = world.main_server(0);
    let drill = RestoreDrill::random(&mut StdRng::seed_from_u64(1));
    let changes = async {
        Timer::after(Duration::from_millis(500)).await;
        world.store.update(|objects| {
            let value = serde_json::Value::Null;
            objects.put(ObjectKind::Records, "record", value.clone(), value)
        });
        world.publish_configuration();
        world.publish_configuration();
        world.add_server(soak_routes::PLAIN_SERVICE).await.unwrap();
        ended.is_departing.store(true, Ordering::SeqCst);
        ended.deregister();
        ended.crash();
        names(&world, ObjectKind::Servers)
    };
    let (_, servers) = future::block_on(future::zip(drill.run(&world), changes));
    assert_eq!(names(&world, ObjectKind::Servers), servers);
    assert_eq!(names(&world, ObjectKind::Records), [""; 0]);
    let objects = world.store.objects.lock().unwrap();
    let main = objects.get(ObjectKind::Configuration, ObjectKind::CONFIGURATION_NAME);
    let newest = ConfigurationBody::write(&soak_routes::build_table(3, 0)).unwrap();
    assert_eq!(main.unwrap().spec, newest);
    assert!(objects.era() > 1);
    drop(objects);
    world.pool.stop();
}

#[test]
fn schedule_of_drills_depends_on_the_seed_alone() {
    let plan = |seed| SoakPlan {
        scenario: FaultScenario::ChangesBeside(NewerKind::Restored),
        ..SoakPlan::new(seed, Path::new(""), Path::new(""))
    };
    let events = FaultEvent::for_plan(&plan(1));
    assert_eq!(events, FaultEvent::for_plan(&plan(1)));
    assert_ne!(events, FaultEvent::for_plan(&plan(2)));
    let restores = events
        .iter()
        .filter(|(_, event)| matches!(event, FaultEvent::Restore(_)));
    assert!(restores.count() > 0);
}
