//! An entry of another writer, with a field missing, at the address of a server that holds keys.

use crate::{
    clients::{self, Habit},
    instances::{self, Instance},
    json::{Json, table, text},
    record::Record,
    servers::{Ledger, Server, now_ms},
    store::Store,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU16, Ordering},
    },
    thread,
    time::Duration,
};

pub const HOST: &str = "records.example";

/// First of the busy keys, which are close to one another.
static BUSY: AtomicU16 = AtomicU16::new(60_000);

/// A quarter of the requests are for 400 busy keys, the others for any.
pub fn draw_key(number: u64) -> Option<u16> {
    let any = number.wrapping_mul(40_503) % 65_536;
    let busy = u64::from(BUSY.load(Ordering::SeqCst)) + number.wrapping_mul(7_919) % 400;
    Some(if number % 4 != 0 { any } else { busy % 65_536 } as u16)
}

/// Changes which keys are busy: `first` and the next ones.
pub fn move_busy_keys(first: u16) {
    BUSY.store(first, Ordering::SeqCst);
}

/// The operator's configuration: one service with keys and one without.
pub fn configuration(version: i128) -> Json {
    let service = |name: &str, sharded: bool| {
        table([
            ("name", text(name)),
            ("health_path", text("/health")),
            ("max_connections", Json::Int(110)),
            ("protocol", text("h1")),
            ("tls", Json::Bool(false)),
            ("sharded", Json::Bool(sharded)),
            ("warm_s", Json::Int(2)),
            ("grants", text("call")),
        ])
    };
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        table([
            ("name", text(name)),
            ("path_prefix", text(prefix)),
            ("type", text(kind)),
            ("timeout_s", Json::Int(2)),
            ("target_latency_s", Json::Float(0.4)),
            ("priority", Json::Int(1)),
            ("max_attempts", Json::Int(2)),
            ("service", text(service)),
        ])
    };
    let paths = Json::List(vec![
        route("r-viewer", "/view/", "safe", "viewer"),
        route("r-registry", "/file/", "unsafe", "registry"),
    ]);
    table([
        ("version", Json::Int(version)),
        (
            "services",
            Json::List(vec![service("viewer", true), service("registry", false)]),
        ),
        (
            "limits",
            table([
                ("max_header_bytes", Json::Int(16_384)),
                ("max_body_bytes", Json::Int(67_108_864)),
                ("header_timeout_s", Json::Int(3)),
                ("idle_timeout_s", Json::Int(15)),
            ]),
        ),
        (
            "hosts",
            Json::List(vec![table([("host", text(HOST)), ("paths", paths)])]),
        ),
    ])
}

pub fn run(program: &str, record: &str, folder: &str, trouble: bool) -> Option<usize> {
    let record = Arc::new(Record::create(record));
    let store = Store::start("127.0.0.1");
    let ledger = Ledger::start(record.clone());
    store.put("config", "main", configuration(7), Json::Null);
    let zones = ["pnw-a", "pnw-b", "pnw-c"];
    let work = Duration::from_millis(120);
    let servers: Vec<Arc<Server>> = (0..9)
        .map(|n| {
            Server::start(
                &format!("i-view{n}"),
                "viewer",
                zones[n % 3],
                true,
                work,
                &store,
                &ledger,
            )
        })
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
    thread::sleep(Duration::from_secs(8));
    // The busy keys change to some of one server.
    let holder = &servers[1];
    let ranges = holder.held_ranges();
    let longest = ranges.iter().max_by_key(|(first, last)| last - first);
    record.line(&format!(
        "{} holds {ranges:?}; the busy keys are in the longest range now",
        holder.id
    ));
    if let Some((first, last)) = longest {
        move_busy_keys(((u32::from(*first) + u32::from(*last)) / 2) as u16);
    }
    if trouble {
        // `version` is missing, and `sequence` is of another type.
        let info = table([
            ("service", text(&holder.service)),
            ("zone", text(&holder.zone)),
            ("capacity", Json::Int(3)),
        ]);
        let spec = table([
            ("address", text(&holder.address.to_string())),
            ("born", Json::Int(now_ms().into())),
            ("info", info),
        ]);
        let status = table([("state", text("ready")), ("sequence", text("none"))]);
        record.line(&format!(
            "another writer writes servers/i-other with the address of {}: {} {}",
            holder.id,
            spec.to_text(),
            status.to_text()
        ));
        store.put("servers", "i-other", spec, status);
    }
    // The platform removes an entry after three heartbeat intervals of silence.
    thread::sleep(Duration::from_millis(2_610));
    store.remove("servers", "i-other");
    thread::sleep(Duration::from_secs(7));
    stop.store(true, Ordering::SeqCst);
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    let ended = instances
        .iter_mut()
        .map(|instance| usize::from(instance.has_ended()))
        .sum::<usize>();
    record.line(&format!("{ended} instances have ended by themselves"));
    Some(record.finish())
}
