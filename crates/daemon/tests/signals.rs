//! Signals to a starting, running or stopping instance of both kinds.
//!
//! The tests guard against incident inc1, in which a signal ended instances that still had open
//! requests, and against faults of the same kind.

mod common;

use common::{
    CALLER_PORT, InstanceKind, SIGNAL_DELAY, WAIT_TIMEOUT, begin_request, exits_cleanly,
    has_handlers, is_refusal, read_answer, send_signal,
};
use rustix::process::{Pid, Signal, kill_process};
use std::{io::Write, net::TcpStream, process::Child, time::Instant};

/// Signals that stop an instance.
const STOP_SIGNALS: [&str; 3] = ["TERM", "INT", "QUIT"];
/// Signals, by name, whose default action ends a process and that mean nothing to an instance.
const UNUSED_SIGNALS: [&str; 9] = [
    "USR1", "USR2", "ALRM", "VTALRM", "PROF", "XCPU", "XFSZ", "PIPE", "IO",
];
/// More such signals, by number: PWR, STKFLT, and real-time signals from the first to the last.
const NUMBERED_SIGNALS: [&str; 6] = ["30", "16", "34", "35", "50", "64"];
/// Time limit of a stop, in milliseconds; longer than sending all signals takes.
const STOP_MS: u64 = 20_000;

/// Sends a signal and asserts that the process still runs.
fn assert_survives(kind: &InstanceKind, child: &mut Child, name: &str, phase: &str) {
    send_signal(child, name);
    std::thread::sleep(SIGNAL_DELAY);
    let ended = child.try_wait().unwrap();
    assert!(
        ended.is_none(),
        "SIG{name} ended a {phase} {}: {ended:?}",
        kind.name
    );
}

/// Completes the head of a request and asserts that it is answered.
fn assert_answered(kind: &InstanceKind, mut stream: TcpStream) {
    write!(stream, "\r\n").unwrap();
    let text = read_answer(stream);
    assert!(is_refusal(&text), "{}: {text}", kind.name);
}

// Guards against a signal after the first stop signal that ends the process and cuts open requests.
#[test]
fn signals_during_stop_cut_no_open_request() {
    for kind in InstanceKind::both(5) {
        for first in STOP_SIGNALS {
            let mut child = kind.start(STOP_MS);
            let stream = begin_request(kind.host, CALLER_PORT, "/a/b");
            // The connection must be accepted before the stop begins.
            std::thread::sleep(SIGNAL_DELAY);
            assert_survives(&kind, &mut child, first, "stopping");
            for name in ["HUP"]
                .iter()
                .chain(&STOP_SIGNALS)
                .chain(&UNUSED_SIGNALS)
                .chain(&NUMBERED_SIGNALS)
            {
                assert_survives(&kind, &mut child, name, "stopping");
            }
            assert_answered(&kind, stream);
            assert!(exits_cleanly(&mut child), "{} after SIG{first}", kind.name);
        }
    }
}

// Guards against a signal without a handler that ends a running instance.
#[test]
fn only_stop_signals_end_running_instance() {
    for kind in InstanceKind::both(6) {
        let mut child = kind.start(STOP_MS);
        let stream = begin_request(kind.host, CALLER_PORT, "/a/b");
        for name in ["HUP"]
            .iter()
            .chain(&UNUSED_SIGNALS)
            .chain(&NUMBERED_SIGNALS)
        {
            assert_survives(&kind, &mut child, name, "running");
        }
        assert_answered(&kind, stream);
        send_signal(&child, "TERM");
        assert!(exits_cleanly(&mut child), "{}", kind.name);
    }
}

// Guards against a stop signal that is lost among many other signals.
#[test]
fn stop_signal_after_many_other_signals_stops_instance() {
    const ROUNDS: usize = 20_000;
    for kind in InstanceKind::both(7) {
        let mut child = kind.start(STOP_MS);
        let pid = Pid::from_child(&child);
        for _ in 0..ROUNDS {
            kill_process(pid, Signal::HUP).unwrap();
            kill_process(pid, Signal::USR1).unwrap();
        }
        kill_process(pid, Signal::TERM).unwrap();
        assert!(exits_cleanly(&mut child), "{}", kind.name);
    }
}

/// Signals that the test of a starting instance sends.
const EARLY_SIGNALS: [Signal; 5] = [
    Signal::HUP,
    Signal::USR1,
    Signal::ALARM,
    Signal::TERM,
    Signal::HUP,
];

// Guards against signals during the start that end the instance, or a stop signal that is lost
// then.
#[test]
fn starting_instance_survives_other_signals_and_stops_cleanly() {
    for kind in InstanceKind::both(8) {
        let mut child = kind.command(STOP_MS).spawn().unwrap();
        let began = Instant::now();
        let numbers = EARLY_SIGNALS.map(Signal::as_raw);
        while !has_handlers(&child, &numbers) {
            let ended = child.try_wait().unwrap();
            assert!(ended.is_none(), "{}: {ended:?}", kind.name);
            assert!(
                began.elapsed() < WAIT_TIMEOUT,
                "{} has no handlers for early signals",
                kind.name
            );
        }
        let pid = Pid::from_child(&child);
        for signal in EARLY_SIGNALS {
            kill_process(pid, signal).unwrap();
        }
        assert!(exits_cleanly(&mut child), "{}", kind.name);
    }
}
