//! How signals reach a process, and what must not hold its end up.

mod common;

use common::{
    CALLER_PORT, InstanceKind, PIPE_BYTES, SETTLE_TIME, begin_request, ends_well, handles,
    is_refusal, read_answer, send_signal, wait_for,
};
use rustix::process::Signal;
use std::{
    io::{Read, Write},
    net::Ipv4Addr,
    process::{Command, Stdio},
    time::Duration,
};

/// Longest time of a stop, in milliseconds, unless a test says so.
const STOP_MS: u64 = 1_000;

// Guards against the class of inc1: a signal that the parent had blocked was never taken.
#[test]
fn a_wish_to_stop_is_taken_although_the_parent_blocked_the_signal() {
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
            ends_well(&mut child),
            "{}: SIGTERM stays blocked",
            kind.name
        );
    }
}

fn stops_behind_a_full_log(kind: &InstanceKind) -> bool {
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
    let ended = ends_well(&mut child);
    drop(log);
    ended
}

// Guards against the class of inc1: a line to a full pipe held the wait for signals up.
#[test]
fn a_daemon_stops_although_the_reader_of_its_log_stands_still() {
    assert!(stops_behind_a_full_log(&InstanceKind::daemon(42)));
}

// Guards against the class of inc1: a line that could not be written ended the process.
#[test]
fn a_daemon_goes_on_although_the_reader_of_its_log_has_left() {
    let kind = InstanceKind::daemon(48);
    let mut child = kind.command(STOP_MS).spawn().unwrap();
    drop(kind.wait_started(&mut child));
    let mut stream = begin_request(kind.host, CALLER_PORT, "/a/b");
    std::thread::sleep(SETTLE_TIME);
    send_signal(&child, "HUP");
    std::thread::sleep(SETTLE_TIME);
    let sent = write!(stream, "\r\n");
    let text = read_answer(stream);
    child.kill().unwrap();
    let status = child.wait().unwrap();
    assert!(is_refusal(&text), "{sent:?} {text:?} {status}");
}

// Guards against the class of inc1: the last flush of the log never ended.
#[test]
fn a_gateway_ends_although_the_reader_of_its_log_stands_still() {
    assert!(stops_behind_a_full_log(&InstanceKind::gateway(43)));
}

// Guards against the class of inc1: signals that come before the settings are read. A process that
// stands still while it prints its help has not read them.
#[test]
fn signals_are_taken_before_settings_are_read() {
    for arguments in [&["gateway", "--help"][..], &["--help"]] {
        let (reader, writer) = std::io::pipe().unwrap();
        rustix::pipe::fcntl_setpipe_size(&writer, PIPE_BYTES).unwrap();
        (&writer).write_all(&[b'-'; PIPE_BYTES]).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_geraniummastd"))
            .args(arguments)
            .stdout(writer)
            .spawn()
            .unwrap();
        let caught = wait_for(|| handles(&child, &[Signal::TERM.as_raw()]));
        child.kill().unwrap();
        child.wait().unwrap();
        drop(reader);
        assert!(caught, "{arguments:?}");
    }
}

#[test]
fn each_wish_to_stop_begins_a_stop_by_itself() {
    for kind in InstanceKind::both(22) {
        for name in ["TERM", "INT", "QUIT"] {
            let mut child = kind.start(STOP_MS);
            send_signal(&child, name);
            assert!(ends_well(&mut child), "{}: SIG{name}", kind.name);
        }
    }
}

/// Whether the metrics of a daemon tell of a caller's connection.
fn has_caller(host: Ipv4Addr) -> bool {
    let mut stream = begin_request(host, 19_464, "/metrics");
    let mut text = String::new();
    write!(stream, "Connection: close\r\n\r\n").unwrap();
    stream.read_to_string(&mut text).unwrap();
    let of_callers = |line: &&str| line.contains("listener=\"callers\"");
    let mut connections = text
        .lines()
        .filter(|line| line.starts_with("geraniummast_connections{"));
    connections
        .find(of_callers)
        .is_some_and(|line| line.ends_with(" 1"))
}

/// Answer to a request whose head is completed while its instance stands still
/// past the bound of its stop.
fn answer_after_freeze(kind: &InstanceKind) -> String {
    let mut child = kind.start(2_000);
    let mut stream = begin_request(kind.host, CALLER_PORT, "/a/b");
    // A stop ends at once while no connection was taken.
    assert!(wait_for(|| kind.is_gateway() || has_caller(kind.host)));
    std::thread::sleep(SETTLE_TIME);
    send_signal(&child, "TERM");
    std::thread::sleep(SETTLE_TIME);
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
fn a_gateway_that_was_frozen_past_the_bound_of_its_stop_answers_what_it_has_in_hand() {
    let text = answer_after_freeze(&InstanceKind::gateway(46));
    assert!(is_refusal(&text), "{text:?}");
}

// Guards against the class of inc1: a daemon looked at its bound before its sockets after a freeze.
#[test]
fn a_daemon_that_was_frozen_past_the_bound_of_its_stop_answers_what_it_has_in_hand() {
    for number in [47, 49, 50] {
        let text = answer_after_freeze(&InstanceKind::daemon(number));
        assert!(is_refusal(&text), "{text:?}");
    }
}
