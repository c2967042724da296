//! Instances as child processes of a test.

#![allow(dead_code, reason = "each test file uses its part")]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, TcpStream},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Longest wait for an expected event.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Port for callers.
pub(crate) const CALLER_PORT: u16 = 18_381;
/// Pause after a signal, long enough for it to be handled, or for an instance that it ends to exit.
pub(crate) const SIGNAL_DELAY: Duration = Duration::from_millis(60);
/// Size of the log pipe in tests whose reader stops reading, in bytes.
pub(crate) const PIPE_BYTES: usize = 4_096;

/// Loopback address that only this process uses, one per `number`, so that fixed ports are free.
pub(crate) fn loopback_host(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + number, high, low.max(1))
}

/// Command of a gateway instance whose store does not answer.
pub(crate) fn gateway_command(host: Ipv4Addr, extra_flags: &[&str]) -> Command {
    let address = |flag: &str, port: u16| format!("--{flag}={host}:{port}");
    let mut command = Command::new(env!("CARGO_BIN_EXE_geraniummastd"));
    command
        .args(["gateway", "--name=a1", "--data-centre=dc1"])
        .args([
            address("caller-address", CALLER_PORT),
            address("readiness-address", 18_388),
            address("operator-address", 19_464),
            address("peer-address", 17_200),
            address("feed-address", 18_382),
            address("store-address", 9),
        ])
        .args(extra_flags)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

/// Starts a gateway instance whose store does not answer.
pub(crate) fn spawn_gateway(host: Ipv4Addr, extra_flags: &[&str]) -> Child {
    gateway_command(host, extra_flags).spawn().unwrap()
}

/// Command of a daemon instance (with the product's own interface) whose store does not answer.
pub(crate) fn daemon_command(host: Ipv4Addr, extra_flags: &[&str]) -> Command {
    let address = |flag: &str, port: u16| format!("--{flag}={host}:{port}");
    let mut command = Command::new(env!("CARGO_BIN_EXE_geraniummastd"));
    command
        .args(["--name=a1", "--data-centre=dc1"])
        .args([
            address("caller-address", CALLER_PORT),
            address("peer-address", 17_200),
            address("operator-address", 19_464),
            address("store-address", 9),
        ])
        .args([
            "--peer-secret=0123456789abcdef",
            "--operator-token=0123456789abcdef",
        ])
        .args(extra_flags)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

/// Sends a signal, given by its name or number.
pub(crate) fn send_signal(child: &Child, name: &str) {
    let pid = child.id().to_string();
    let sent = Command::new("kill").args(["-s", name, &pid]).status();
    assert!(sent.unwrap().success());
}

/// Whether `condition` becomes true within [`WAIT_TIMEOUT`].
pub(crate) fn wait_for(mut condition: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < WAIT_TIMEOUT {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Opens a connection and sends a request without the end of its head.
pub(crate) fn begin_request(host: Ipv4Addr, port: u16, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect((host, port)).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nHost: one.example\r\n").unwrap();
    stream
}

/// Whether an instance exits with code 0; kills it if it does not exit.
pub(crate) fn exits_cleanly(child: &mut Child) -> bool {
    let ended = wait_for(|| child.try_wait().unwrap().is_some());
    child.kill().unwrap();
    let status = child.wait().unwrap();
    ended && status.success()
}

/// Whether a process has handlers for all signals with these numbers.
pub(crate) fn has_handlers(child: &Child, numbers: &[i32]) -> bool {
    let path = format!("/proc/{}/status", child.id());
    let status = std::fs::read_to_string(path).unwrap_or_default();
    let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    let is_caught = |number: &i32| mask.unwrap_or_default() >> (number - 1) & 1 == 1;
    numbers.iter().all(is_caught)
}

/// Log output of an instance.
pub(crate) type LogReader = Box<dyn Read + Send>;

/// A kind of instance, with the address of one process.
pub(crate) struct InstanceKind {
    pub(crate) name: &'static str,
    pub(crate) host: Ipv4Addr,
}

impl InstanceKind {
    /// Both kinds, with the addresses number `2 * test` and `2 * test + 1`.
    pub(crate) fn both(test: u8) -> [Self; 2] {
        [Self::gateway(test * 2), Self::daemon(test * 2 + 1)]
    }

    /// A gateway instance at address `number`.
    pub(crate) fn gateway(number: u8) -> Self {
        let (name, host) = ("gateway", loopback_host(number));
        Self { name, host }
    }

    /// A daemon instance at address `number`.
    pub(crate) fn daemon(number: u8) -> Self {
        let (name, host) = ("daemon", loopback_host(number));
        Self { name, host }
    }

    /// Whether this is a gateway instance.
    pub(crate) fn is_gateway(&self) -> bool {
        self.name == "gateway"
    }

    /// Command that starts the instance with a time limit of its stop.
    pub(crate) fn command(&self, stop_ms: u64) -> Command {
        match self.is_gateway() {
            true => {
                let flag = format!("--stop-timeout-s={}", stop_ms as f64 / 1_000.0);
                gateway_command(self.host, &[&flag])
            }
            false => daemon_command(self.host, &[&format!("--stop-timeout-ms={stop_ms}")]),
        }
    }

    /// Waits until the instance has logged its start; returns the log, which is not read any
    /// further.
    pub(crate) fn wait_started(&self, child: &mut Child) -> LogReader {
        let mut log: LogReader = match self.is_gateway() {
            true => Box::new(child.stdout.take().unwrap()),
            false => Box::new(child.stderr.take().unwrap()),
        };
        // One byte at a time, so that what follows stays in the pipe.
        let mut lines = BufReader::with_capacity(1, &mut log).lines();
        let has_started = lines.any(|line| line.unwrap().contains("message=started"));
        assert!(has_started, "{} ended before it started", self.name);
        log
    }

    /// Starts the instance and waits until it has started; a thread reads its log from then on.
    pub(crate) fn start(&self, stop_ms: u64) -> Child {
        let mut child = self.command(stop_ms).spawn().unwrap();
        let mut log = self.wait_started(&mut child);
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        child
    }
}

/// Answer to the request on a connection, or the part of it that arrived.
pub(crate) fn read_answer(stream: TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut text = String::new();
    let mut length = 0;
    loop {
        let from = text.len();
        match reader.read_line(&mut text) {
            Ok(0) | Err(_) => return text,
            Ok(_) => {}
        }
        let line = text[from..].trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    match reader.read_exact(&mut body) {
        Ok(()) => text + std::str::from_utf8(&body).unwrap(),
        Err(_) => format!("{text}(cut)"),
    }
}

/// Whether an answer is a complete refusal: status 503 and a JSON body.
pub(crate) fn is_refusal(answer: &str) -> bool {
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    answer.starts_with("HTTP/1.1 503") && body.starts_with('{') && body.ends_with('}')
}
