//! Callers that send further safe requests before the first one has been answered.

use crate::{
    small_socket,
    world::{HOST, World, read_head},
};
use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::ExitCode,
    sync::Arc,
    thread,
    time::Duration,
};

/// Time that a server works on the first request of a connection.
const WORK_MS: u64 = 300;
/// Size of an answer, in bytes: the largest of the site's `history-pull`.
const ANSWER_BYTES: usize = 30_000;
/// Receive buffer of a caller's socket, in bytes.
const WINDOW_BYTES: i32 = 4_096;
/// Callers that have a request in progress when the stop begins.
const CALLERS: usize = 12;

fn request(id: &str, work_ms: u64, size: usize) -> String {
    format!(
        "GET /safe/x?work={work_ms}&size={size} HTTP/1.1\r\nHost: {HOST}\r\nX-Geraniummast-Request-Attempt-Id: {id}\r\nX-Geraniummast-Deadline-Ms: 4000\r\n\r\n"
    )
}

/// How the first answer of a connection ended.
struct Outcome {
    id: String,
    status: u16,
    announced: usize,
    received: usize,
}

/// Sends one request and two more behind it, and reads the first answer at some 0.5 MB a second.
fn call(gateway: SocketAddr, id: &str) -> Outcome {
    let mut outcome = Outcome {
        id: id.into(),
        status: 0,
        announced: 0,
        received: 0,
    };
    let Some(mut stream) = small_socket::connect_with_buffer(gateway, WINDOW_BYTES) else {
        return outcome;
    };
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::with_capacity(1 << 10, stream.try_clone().unwrap());
    let first = request(id, WORK_MS, ANSWER_BYTES);
    let _ = stream.write_all(first.as_bytes());
    for behind in 1..=2 {
        thread::sleep(Duration::from_millis(60));
        let next = request(&format!("{id}-behind-{behind}"), 5, 100);
        let _ = stream.write_all(next.as_bytes());
    }
    let Some(head) = read_head(&mut reader) else {
        return outcome;
    };
    outcome.status = head.status();
    outcome.announced = head.header("content-length").parse().unwrap_or(0);
    let mut piece = vec![0; 4 << 10];
    while outcome.received < outcome.announced {
        let wanted = piece.len().min(outcome.announced - outcome.received);
        match reader.read(&mut piece[..wanted]) {
            Ok(0) | Err(_) => break,
            Ok(read) => outcome.received += read,
        }
        thread::sleep(Duration::from_millis(8));
    }
    outcome
}

/// An instance is stopped while callers wait for answers, with requests behind the ones in progress.
pub fn stop(folder: &str, has_trouble: bool) -> ExitCode {
    let Some(world) = World::start(folder, &["files"; 3], 2) else {
        return ExitCode::from(2);
    };
    let gateway = world.gateways[0].caller;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = world.record.clone();
            thread::spawn(move || {
                let id = format!("first-{number}");
                record.line(&format!(
                    "caller {number} sends {id}, and two requests behind it"
                ));
                let outcome = call(gateway, &id);
                record.line(&format!(
                    "caller {number} has {} of {} bytes of the answer to {id}, status {}",
                    outcome.received, outcome.announced, outcome.status
                ));
                outcome
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(150));
    if has_trouble {
        world.record.line("SIGTERM to instance 1");
        world.gateways[0].signal("TERM");
    }
    let outcomes: Vec<Outcome> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    let runs = world.runs();
    let lost: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| runs.iter().any(|run| run.id == outcome.id))
        .filter(|outcome| outcome.status == 0 || outcome.received < outcome.announced)
        .collect();
    world.record.line(&format!(
        "{} of {} requests that a server ran have no complete answer",
        lost.len(),
        outcomes.len()
    ));
    println!("{} of {} answers lost", lost.len(), outcomes.len());
    match (runs.len() >= CALLERS, lost.is_empty()) {
        (false, _) => ExitCode::from(2),
        (true, true) => ExitCode::SUCCESS,
        (true, false) => ExitCode::FAILURE,
    }
}

/// Callers leave while their first request runs, with requests behind it.
pub fn leave(folder: &str, has_trouble: bool) -> ExitCode {
    /// Time after the close from which requests may not reach a server.
    const SLACK_MS: u64 = 500;
    /// Number of late requests that are allowed.
    const FEW: usize = 5;
    let Some(world) = World::start(folder, &["files"; 3], 2) else {
        return ExitCode::from(2);
    };
    let world = Arc::new(world);
    let gateway = world.gateways[0].caller;
    let callers: Vec<_> = (0..20)
        .map(|number| {
            let world = world.clone();
            thread::spawn(move || {
                let mut stream = TcpStream::connect(gateway).unwrap();
                for (position, work_ms) in [(0, 900), (1, 50), (2, 50)] {
                    let id = format!("caller-{number}-{position}");
                    let text = request(&id, work_ms, 100);
                    let _ = stream.write_all(text.as_bytes());
                    world.record.line(&format!("caller {number} sends {id}"));
                    thread::sleep(Duration::from_millis(10));
                }
                thread::sleep(Duration::from_millis(70));
                if !has_trouble {
                    thread::sleep(Duration::from_millis(2_500));
                }
                drop(stream);
                world
                    .record
                    .line(&format!("caller {number} closes its connection"));
                world.record.now_ms()
            })
        })
        .collect();
    let closed: Vec<u64> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    thread::sleep(Duration::from_millis(3_000));
    let runs = world.runs();
    let late = runs.iter().filter(|run| {
        let number = run
            .id
            .split('-')
            .nth(1)
            .and_then(|text| text.parse::<usize>().ok());
        let closed_ms = number.and_then(|number| closed.get(number));
        closed_ms.is_some_and(|closed_ms| run.at_ms > closed_ms + SLACK_MS)
    });
    let late = late.count();
    let summary = format!("{late} requests reached a server over half a second after the close");
    world.record.line(&summary);
    println!("{summary}");
    match (runs.len() >= 20, late > FEW) {
        (false, _) => ExitCode::from(2),
        (true, false) => ExitCode::SUCCESS,
        (true, true) => ExitCode::FAILURE,
    }
}
