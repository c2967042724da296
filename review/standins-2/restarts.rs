//! A server that starts again under its identifier, and a kill of the leader of the keys right after it.

use crate::{
    clients::{self, Habit},
    forged::{HOST, configuration, draw_key, move_busy_keys},
    instances::{self, Instance},
    json::Json,
    record::Record,
    servers::{Ledger, Server},
    store::Store,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Time that the server is down, and time from its start until it writes its entry, less than a heartbeat
/// interval.
const DOWN: Duration = Duration::from_millis(100);
const UNLISTED: Duration = Duration::from_millis(850);
/// Time from the server's crash until the leader is killed, and until the platform starts it again.
const KILL_AFTER: Duration = Duration::from_millis(900);
const START_AFTER: Duration = Duration::from_millis(200);

pub fn run(program: &str, record: &str, folder: &str, trouble: bool) -> Option<usize> {
    let record = Arc::new(Record::create(record));
    let store = Store::start("127.0.0.1");
    let ledger = Ledger::start(record.clone());
    store.put("config", "main", configuration(7), Json::Null);
    let zones = ["pnw-a", "pnw-b", "pnw-c"];
    let work = Duration::from_millis(120);
    let start = |n: usize| {
        let id = format!("i-view{n}");
        Server::start(&id, "viewer", zones[n % 3], true, work, &store, &ledger)
    };
    let servers: Vec<Arc<Server>> = (0..9).map(start).collect();
    let mut instances = Instance::prepare(8, &store.address.to_string(), folder);
    instances
        .iter_mut()
        .for_each(|instance| instance.start(program));
    if !instances::wait_ready(&instances, Duration::from_secs(20)) {
        record.line("instances are not ready");
        record.finish();
        return None;
    }
    thread::sleep(Duration::from_secs(6));
    let stop = Arc::new(AtomicBool::new(false));
    let habit = Habit {
        method: "GET",
        host: HOST,
        path: "/view/a",
        deadline: Duration::from_secs(1),
        key: draw_key,
        pause: Duration::from_millis(80),
    };
    let callers: Vec<_> = (0..24)
        .map(|n| {
            let address = instances[n % instances.len()].caller_address();
            clients::start(address, habit.clone(), record.clone(), stop.clone())
        })
        .collect();
    // The busy keys change a few times, so that servers hold more ranges than one.
    for first in [9_000, 24_000, 38_000, 53_000] {
        thread::sleep(Duration::from_secs(3));
        move_busy_keys(first);
    }
    thread::sleep(Duration::from_secs(3));
    if trouble {
        let by_ranges = servers
            .iter()
            .max_by_key(|server| server.held_ranges().len());
        let server = by_ranges?.clone();
        record.line(&format!("{} holds {:?}", server.id, server.held_ranges()));
        let restart = thread::spawn(move || server.restart(DOWN, UNLISTED));
        thread::sleep(KILL_AFTER);
        let leader = store.leader("viewer").unwrap_or_default();
        record.line(&format!("the leader of the keys, {leader}, is killed"));
        if let Some(leader) = instances
            .iter_mut()
            .find(|instance| instance.name == leader)
        {
            leader.kill();
            thread::sleep(START_AFTER);
            leader.start(program);
            record.line(&format!("{} is started again", leader.name));
        }
        restart.join().unwrap();
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    Some(record.finish())
}
