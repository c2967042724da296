//! An entry of another writer that holds bytes which cannot be read, and a kill of all processes.

use crate::{
    clients::{self, Habit},
    forged::{HOST, configuration},
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

/// `recover_s` of the site.
const RECOVER: Duration = Duration::from_secs(15);

pub fn run(program: &str, record: &str, folder: &str, trouble: bool) -> Option<usize> {
    let record = Arc::new(Record::create(record));
    let store = Store::start("127.0.0.1");
    let ledger = Ledger::start(record.clone());
    store.put("config", "main", configuration(7), Json::Null);
    let zones = ["pnw-a", "pnw-b", "pnw-c"];
    let work = Duration::from_millis(120);
    let start = |service: &str, keyed: bool, n: usize| {
        let id = format!("i-{service}{n}");
        Server::start(&id, service, zones[n % 3], keyed, work, &store, &ledger)
    };
    let _servers: Vec<Arc<Server>> = (0..9)
        .map(|n| start("viewer", true, n))
        .chain((0..6).map(|n| start("registry", false, n)))
        .collect();
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
    let viewer = Habit {
        method: "GET",
        host: HOST,
        path: "/view/a",
        deadline: Duration::from_secs(1),
        key: |number| Some((number.wrapping_mul(40_503) % 65_536) as u16),
        pause: Duration::from_millis(150),
    };
    let registry = Habit {
        method: "POST",
        path: "/file/a",
        key: |_| None,
        ..viewer.clone()
    };
    let callers: Vec<_> = (0..32)
        .map(|n| {
            let address = instances[n % instances.len()].caller_address();
            let habit = if n < 16 { &viewer } else { &registry };
            clients::start(address, habit.clone(), record.clone(), stop.clone())
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    record.begin_count();
    thread::sleep(Duration::from_secs(6));
    let before = record.served_share();
    record.line(&format!("{:.3} served before", before));
    let writes = Arc::new(AtomicBool::new(trouble));
    let (writer_store, writer_on) = (store.clone(), writes.clone());
    let writer = thread::spawn(move || {
        for sequence in 1.. {
            if !writer_on.load(Ordering::SeqCst) {
                return;
            }
            // JSON by its grammar; the text has half of a surrogate pair.
            let spec = format!("{{\"address\":\"\\ud8ff\\u0000\",\"sequence\":{sequence}}}");
            writer_store.put("servers", "i-other", Json::Raw(spec), Json::Null);
            thread::sleep(Duration::from_millis(870));
        }
    });
    if trouble {
        record.line("another writer keeps an entry servers/i-other from now on");
    }
    thread::sleep(Duration::from_secs(4));
    record.line("all processes of the system are killed at the same moment, and started again");
    instances.iter_mut().for_each(Instance::kill);
    thread::sleep(Duration::from_millis(500));
    instances
        .iter_mut()
        .for_each(|instance| instance.start(program));
    thread::sleep(RECOVER + Duration::from_secs(1));
    record.begin_count();
    thread::sleep(Duration::from_secs(10));
    let after = record.served_share();
    let ready = instances
        .iter()
        .filter(|instance| instance.is_ready())
        .count();
    record.line(&format!(
        "{:.3} served later than recover_s after; {ready} of 8 ready",
        after
    ));
    stop.store(true, Ordering::SeqCst);
    writes.store(false, Ordering::SeqCst);
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    writer.join().unwrap();
    if before < 0.25 {
        record.line("too little was served before");
        record.finish();
        return None;
    }
    if after < 0.25 {
        let line = format!(
            "RECOVER {after:.3} of the requests are served, {before:.3} before; {ready} of 8 instances are ready"
        );
        record.violation("recover", &line);
    }
    Some(record.finish())
}
