//! A server that goes down and starts again, cold, while callers send as before.

use crate::world::{HOST, Life, World, read_message};
use std::{
    io::{BufReader, Write},
    net::TcpStream,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Servers, of which one goes down and up.
const SERVERS: usize = 10;
/// Instances.
const INSTANCES: usize = 4;
/// Callers, each of which sends one request after the other.
const CALLERS: usize = 60;
/// Pause of a caller after each request.
const PAUSE: Duration = Duration::from_millis(90);
/// Time for which the store gives no answers.
const SILENCE: Duration = Duration::from_secs(6);
/// Time for which the server is down.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Requests that a cold server may get in one second: 7.3 x 1.5 + 8.
const BOUND: usize = 18;

fn call(world: &World, number: usize, is_over: &AtomicBool) {
    let gateway = world.gateways[number % world.gateways.len()].caller;
    let mut sent = 0;
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(gateway) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while !is_over.load(Ordering::SeqCst) {
            sent += 1;
            let text = format!(
                "GET /safe/x?work=60&size=100 HTTP/1.1\r\nHost: {HOST}\r\nX-Geraniummast-Request-Attempt-Id: c{number}-{sent}\r\nX-Geraniummast-Deadline-Ms: 2000\r\n\r\n"
            );
            let _ = stream.write_all(text.as_bytes());
            if read_message(&mut reader).is_none() {
                break;
            }
            thread::sleep(PAUSE);
        }
    }
}

/// While the store is silent, one of the servers goes down and starts again.
pub fn run(folder: &str, has_trouble: bool) -> ExitCode {
    let services = ["files"; SERVERS];
    let Some(world) = World::start_with(folder, &services, INSTANCES, true) else {
        return ExitCode::from(2);
    };
    let world = Arc::new(world);
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (world, is_over) = (world.clone(), is_over.clone());
            thread::spawn(move || call(&world, number, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    let life = &world.servers[0].life;
    if has_trouble {
        world.record.line("the store is silent");
        world.store.set_silent(true);
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        world.record.line("server i-0 goes down");
        life.end();
        thread::sleep(DOWN_TIME);
        world.record.line("server i-0 starts again, cold");
        life.begin();
    }
    thread::sleep(SILENCE - Duration::from_secs(1) - DOWN_TIME);
    world.record.line("the store answers");
    world.store.set_silent(false);
    thread::sleep(Life::COLD_TIME);
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let runs = world.servers[0].runs.lock().unwrap().clone();
    let cold: Vec<u64> = runs
        .iter()
        .filter(|run| run.is_cold)
        .map(|run| run.at_ms)
        .collect();
    let in_second = |start: &u64| {
        cold.iter()
            .filter(|at| (*start..*start + 1_000).contains(at))
            .count()
    };
    let most = cold.iter().map(in_second).max().unwrap_or(0);
    let all = world.runs().len();
    let summary = format!(
        "{most} requests at most in one second at the cold server, {BOUND} allowed; {all} at all servers"
    );
    world.record.line(&summary);
    println!("{summary}");
    match (all >= 1_000, most > BOUND) {
        (false, _) => ExitCode::from(2),
        (true, false) => ExitCode::SUCCESS,
        (true, true) => ExitCode::FAILURE,
    }
}
