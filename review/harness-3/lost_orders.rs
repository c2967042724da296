//! Orders about keys that servers leave unanswered for some seconds.

use crate::world::{HOST, World, configuration, read_message};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::ExitCode,
    sync::atomic::Ordering,
    thread,
    time::Duration,
};

/// Time for which servers leave orders unanswered.
const LATE_TIME: Duration = Duration::from_millis(5_500);
/// Requests on each route after that.
const REQUESTS: u64 = 60;

/// Sends one request on a connection of its own; returns whether it was served.
fn is_served(gateway: SocketAddr, path: &str, id: &str, key: u64) -> bool {
    let Ok(mut stream) = TcpStream::connect(gateway) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let text = format!(
        "GET {path}?work=5&size=10 HTTP/1.1\r\nHost: {HOST}\r\nX-Geraniummast-Request-Attempt-Id: {id}\r\nX-Geraniummast-Deadline-Ms: 2000\r\nX-Geraniummast-Shard-Key: {key}\r\nConnection: close\r\n\r\n"
    );
    let _ = stream.write_all(text.as_bytes());
    let answer = read_message(&mut BufReader::new(stream));
    answer.is_some_and(|answer| answer.status() == 200)
}

/// Sends `count` requests on each of `paths` to all instances in turn; returns how many were served on
/// each.
fn served(world: &World, name: &str, paths: &[&str], count: u64) -> Vec<u64> {
    let mut served = vec![0; paths.len()];
    for number in 0..count {
        let gateway = &world.gateways[number as usize % world.gateways.len()];
        for (position, path) in paths.iter().enumerate() {
            let id = format!("{name}-{position}-{number}");
            let key = number * 7_919 % 65_536;
            let is_served = is_served(gateway.caller, path, &id, key);
            served[position] += u64::from(is_served);
            world
                .record
                .line(&format!("{id} on {path} served: {is_served}"));
        }
        thread::sleep(Duration::from_millis(300));
    }
    served
}

/// Servers leave some of the orders unanswered for some seconds. Later a route is added, and requests are
/// sent on it and on those that were there before.
pub fn unanswered(folder: &str, has_trouble: bool) -> ExitCode {
    let services = [&["files"; 2][..], &["keyed"; 9][..]].concat();
    let Some(world) = World::start(folder, &services, 3) else {
        return ExitCode::from(2);
    };
    let first_routes = ["/safe/x", "/keyed/x"];
    thread::sleep(Duration::from_secs(3));
    let before = served(&world, "before", &first_routes, 10);
    if before.iter().any(|served| *served < 9) {
        eprintln!("not all requests are served before the trouble: {before:?}");
        return ExitCode::from(2);
    }
    let set_late = |is_late: bool| {
        for server in world.servers.iter() {
            server.keys.is_late.store(is_late, Ordering::SeqCst);
        }
    };
    if has_trouble {
        world
            .record
            .line("servers leave two of seven orders unanswered");
        set_late(true);
        thread::sleep(LATE_TIME);
        world.record.line("servers answer all orders");
        set_late(false);
    }
    thread::sleep(Duration::from_secs(15));
    world
        .store
        .put("config", "main", &configuration(9, "/added/"), "null");
    world
        .record
        .line("a configuration with a further route is acknowledged");
    thread::sleep(Duration::from_secs(5));
    let after = served(
        &world,
        "after",
        &["/safe/x", "/keyed/x", "/added/x"],
        REQUESTS,
    );
    let (first, added) = ((after[0] + after[1]) as f64 / 2.0, after[2] as f64);
    let summary = format!(
        "served of {REQUESTS} requests each: {} and {} on the first routes, {} on the added one",
        after[0], after[1], after[2]
    );
    world.record.line(&summary);
    println!("{summary}");
    match added < first / 4.0 {
        true => ExitCode::FAILURE,
        false => ExitCode::SUCCESS,
    }
}
