//! Clients that keep their connections.

use crate::{http, record::Record};
use std::{
    io::{BufReader, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// What a client sends.
#[derive(Clone)]
pub struct Habit {
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub deadline: Duration,
    /// Key of the next request.
    pub key: fn(u64) -> Option<u16>,
    pub pause: Duration,
}

pub fn next_attempt() -> (u64, String) {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    (number, format!("{number:016x}"))
}

/// Sends requests to an instance until `stop`.
pub fn start(
    address: String,
    habit: Habit,
    record: Arc<Record>,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut kept: Option<BufReader<TcpStream>> = None;
        while !stop.load(Ordering::SeqCst) {
            thread::sleep(habit.pause);
            let mut reader = match kept.take() {
                Some(reader) => reader,
                None => {
                    let Ok(stream) = TcpStream::connect(&address) else {
                        record.answered("a request without a connection", 0, &address);
                        continue;
                    };
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(habit.deadline));
                    BufReader::new(stream)
                }
            };
            let (number, attempt) = next_attempt();
            let key = (habit.key)(number).map_or(String::new(), |key| {
                format!("X-Geraniummast-Shard-Key: {key}\r\n")
            });
            let request = format!(
                "{} {} HTTP/1.1\r\nHost: {}\r\nX-Geraniummast-Request-Attempt-Id: {attempt}\r\n\
                 X-Geraniummast-Deadline-Ms: {}\r\n{key}\r\n",
                habit.method,
                habit.path,
                habit.host,
                habit.deadline.as_millis(),
            );
            record.line(&format!(
                "send {attempt} to {address}: {} {} {}",
                habit.method,
                habit.path,
                key.trim()
            ));
            if reader.get_mut().write_all(request.as_bytes()).is_err() {
                continue;
            }
            match http::read(&mut reader) {
                Ok(Some(answer)) => {
                    record.answered(&attempt, answer.status(), &address);
                    let closes = answer
                        .header("connection")
                        .is_some_and(|value| value.contains("close"));
                    if !closes {
                        kept = Some(reader);
                    }
                }
                _ => record.answered(&attempt, 0, &address),
            }
        }
    })
}
