//! Delivery of signals to a process, and conditions that must not delay its stop.
//!
//! The tests guard against incident inc1, in which a signal ended instances that still had open
//! requests, and against faults of the same kind.

mod common;

use common::{
    CALLER_PORT, InstanceKind, PIPE_BYTES, SIGNAL_DELAY, begin_request, exits_cleanly,
    has_handlers, is_refusal, read_answer, send_signal, wait_for,
};
use rustix::process::Signal;
use std::{
    io::{Read, Write},
    net::Ipv4Addr,
    process::{Command, Stdio},
    time::Duration,
};

/// Time limit of a stop, in milliseconds, unless a test sets its own.
const STOP_MS: u64 = 1_000;

// Guards against a stop signal that is never handled because the parent process had blocked it.
#[test]
fn stop_signal_blocked_by_parent_is_handled() {
    for kind in InstanceKind::both(20) {
        let inner = kind.command(STOP_MS);
        let mut child = Command::new("env")
            .arg("--block-signal=TERM")
            .arg(inner.get_program())
            .args(inner.get_args())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = kind.wait_started(&mut child);
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        send_signal(&child, "TERM");
        assert!(
            exits_cleanly(&mut child),
            "{}: SIGTERM is still blocked",
            kind.name
        );
    }
}

/// Whether an instance exits after SIGTERM while nobody reads its log pipe, which SIGHUPs fill.
fn stops_with_full_log_pipe(kind: &InstanceKind) -> bool {
    let mut child = kind.command(STOP_MS).spawn().unwrap();
    let pipe_size = |fd: &dyn std::os::fd::AsFd| {
        rustix::pipe::fcntl_setpipe_size(fd.as_fd(), PIPE_BYTES).unwrap();
    };
    match kind.is_gateway() {
        true => pipe_size(child.stdout.as_ref().unwrap()),
        false => pipe_size(child.stderr.as_ref().unwrap()),
    }
    let log = kind.wait_started(&mut child);
    for _ in 0..100 {
        send_signal(&child, "HUP");
        std::thread::sleep(Duration::from_millis(20));
    }
    send_signal(&child, "TERM");
    let ended = exits_cleanly(&mut child);
    drop(log);
    ended
}

// Guards against a write to a full log pipe that blocks the handling of signals.
#[test]
fn daemon_with_full_log_pipe_stops() {
    assert!(stops_with_full_log_pipe(&InstanceKind::daemon(42)));
}

// Guards against a failed write to a closed log pipe that ends the process.
#[test]
fn daemon_with_closed_log_pipe_keeps_serving() {
    let kind = InstanceKind::daemon(48);
    let mut child = kind.command(STOP_MS).spawn().unwrap();
    drop(kind.wait_started(&mut child));
    let mut stream = begin_request(kind.host, CALLER_PORT, "/a/b");
    std::thread::sleep(SIGNAL_DELAY);
    send_signal(&child, "HUP");
    std::thread::sleep(SIGNAL_DELAY);
    let sent = write!(stream, "\r\n");
    let text = read_answer(stream);
    child.kill().unwrap();
    let status = child.wait().unwrap();
    assert!(is_refusal(&text), "{sent:?} {text:?} {status}");
}

// Guards against a final flush of the log that never returns.
#[test]
fn gateway_with_full_log_pipe_stops() {
    assert!(stops_with_full_log_pipe(&InstanceKind::gateway(43)));
}

// Guards against signals that arrive before the settings are read and end the process. A process
// that is blocked while it prints its help has not read its settings yet.
#[test]
fn signal_handlers_are_installed_before_settings_are_read() {
    for arguments in [&["gateway", "--help"][..], &["--help"]] {
        let (reader, writer) = std::io::pipe().unwrap();
        rustix::pipe::fcntl_setpipe_size(&writer, PIPE_BYTES).unwrap();
        (&writer).write_all(&[b'-'; PIPE_BYTES]).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_geraniummastd"))
            .args(arguments)
            .stdout(writer)
            .spawn()
            .unwrap();
        let has_handler = wait_for(|| has_handlers(&child, &[Signal::TERM.as_raw()]));
        child.kill().unwrap();
        child.wait().unwrap();
        drop(reader);
        assert!(has_handler, "{arguments:?}");
    }
}

#[test]
fn each_stop_signal_stops_instance() {
    for kind in InstanceKind::both(22) {
        for name in ["TERM", "INT", "QUIT"] {
            let mut child = kind.start(STOP_MS);
            send_signal(&child, name);
            assert!(exits_cleanly(&mut child), "{}: SIG{name}", kind.name);
        }
    }
}

/// Whether the metrics of a daemon show one open connection of a caller.
fn has_caller(host: Ipv4Addr) -> bool {
    let mut stream = begin_request(host, 19_464, "/metrics");
    let mut text = String::new();
    write!(stream, "Connection: close\r\n\r\n").unwrap();
    stream.read_to_string(&mut text).unwrap();
    let is_callers = |line: &&str| line.contains("listener=\"callers\"");
    let mut connections = text
        .lines()
        .filter(|line| line.starts_with("geraniummast_connections{"));
    connections
        .find(is_callers)
        .is_some_and(|line| line.ends_with(" 1"))
}

/// Answer to a request whose head is completed while its instance is frozen until after the time
/// limit of its stop.
fn answer_after_freeze(kind: &InstanceKind) -> String {
    let mut child = kind.start(2_000);
    let mut stream = begin_request(kind.host, CALLER_PORT, "/a/b");
    // The connection must be accepted first: a stop without connections ends at once.
    assert!(wait_for(|| kind.is_gateway() || has_caller(kind.host)));
    std::thread::sleep(SIGNAL_DELAY);
    send_signal(&child, "TERM");
    std::thread::sleep(SIGNAL_DELAY);
    send_signal(&child, "STOP");
    write!(stream, "\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(3_000));
    send_signal(&child, "CONT");
    let text = read_answer(stream);
    let ended = wait_for(|| child.try_wait().unwrap().is_some());
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(ended, "{}", kind.name);
    text
}

#[test]
fn gateway_frozen_past_stop_limit_answers_open_request() {
    let text = answer_after_freeze(&InstanceKind::gateway(46));
    assert!(is_refusal(&text), "{text:?}");
}

// Guards against a daemon that checks its time limit before its sockets after a freeze, and so
// drops the request.
#[test]
fn daemon_frozen_past_stop_limit_answers_open_request() {
    for number in [47, 49, 50] {
        let text = answer_after_freeze(&InstanceKind::daemon(number));
        assert!(is_refusal(&text), "{text:?}");
    }
}
