//! Signals in each phase of a process's life, in both kinds of instance.

mod common;

use common::{
    CALLER_PORT, InstanceKind, PATIENCE, SETTLE_TIME, begin_request, ends_well, handles,
    is_refusal, read_answer, send_signal,
};
use rustix::process::{Pid, Signal, kill_process};
use std::{io::Write, net::TcpStream, process::Child, time::Instant};

/// Signals that ask an instance to stop.
const STOPS: [&str; 3] = ["TERM", "INT", "QUIT"];
/// Signals by name whose default action ends a process, and that an instance has no use for.
const USELESS: [&str; 9] = [
    "USR1", "USR2", "ALRM", "VTALRM", "PROF", "XCPU", "XFSZ", "PIPE", "IO",
];
/// The same by number: PWR, STKFLT, and the first, one in the middle and the last real-time ones.
const NUMBERED: [&str; 6] = ["30", "16", "34", "35", "50", "64"];
/// Longest time of a stop here, in milliseconds: more than all signals take.
const STOP_MS: u64 = 20_000;

/// Sends a signal and makes sure that it ended nothing.
fn survive(kind: &InstanceKind, child: &mut Child, name: &str, phase: &str) {
    send_signal(child, name);
    std::thread::sleep(SETTLE_TIME);
    let ended = child.try_wait().unwrap();
    assert!(
        ended.is_none(),
        "SIG{name} ended a {phase} {}: {ended:?}",
        kind.name
    );
}

/// Makes sure that a request whose head is completed now is answered.
fn finish_request(kind: &InstanceKind, mut stream: TcpStream) {
    write!(stream, "\r\n").unwrap();
    let text = read_answer(stream);
    assert!(is_refusal(&text), "{}: {text}", kind.name);
}

// Guards against inc1: any signal after SIGTERM ended the process and cut the requests in hand.
#[test]
fn no_signal_ends_a_stop_before_the_request_in_hand_is_answered() {
    for kind in InstanceKind::both(5) {
        for first in STOPS {
            let mut child = kind.start(STOP_MS);
            let stream = begin_request(kind.host, CALLER_PORT, "/a/b");
            // The connection has to be taken before the stop begins.
            std::thread::sleep(SETTLE_TIME);
            survive(&kind, &mut child, first, "stopping");
            for name in ["HUP"]
                .iter()
                .chain(&STOPS)
                .chain(&USELESS)
                .chain(&NUMBERED)
            {
                survive(&kind, &mut child, name, "stopping");
            }
            finish_request(&kind, stream);
            assert!(ends_well(&mut child), "{} after SIG{first}", kind.name);
        }
    }
}

// Guards against the class of inc1: a signal without a handler ended an instance that ran.
#[test]
fn no_signal_but_a_wish_to_stop_ends_a_running_instance() {
    for kind in InstanceKind::both(6) {
        let mut child = kind.start(STOP_MS);
        let stream = begin_request(kind.host, CALLER_PORT, "/a/b");
        for name in ["HUP"].iter().chain(&USELESS).chain(&NUMBERED) {
            survive(&kind, &mut child, name, "running");
        }
        finish_request(&kind, stream);
        send_signal(&child, "TERM");
        assert!(ends_well(&mut child), "{}", kind.name);
    }
}

// Guards against the class of inc1: a wish to stop was lost behind a series of other signals.
#[test]
fn a_wish_to_stop_is_not_lost_in_a_series_of_other_signals() {
    const SERIES: usize = 20_000;
    for kind in InstanceKind::both(7) {
        let mut child = kind.start(STOP_MS);
        let pid = Pid::from_child(&child);
        for _ in 0..SERIES {
            kill_process(pid, Signal::HUP).unwrap();
            kill_process(pid, Signal::USR1).unwrap();
        }
        kill_process(pid, Signal::TERM).unwrap();
        assert!(ends_well(&mut child), "{}", kind.name);
    }
}

/// Signals that the test of a starting instance sends.
const EARLY: [Signal; 5] = [
    Signal::HUP,
    Signal::USR1,
    Signal::ALARM,
    Signal::TERM,
    Signal::HUP,
];

// Guards against the class of inc1: signals that come while an instance starts.
#[test]
fn an_instance_that_starts_keeps_a_wish_to_stop_and_nothing_else_ends_it() {
    for kind in InstanceKind::both(8) {
        let mut child = kind.command(STOP_MS).spawn().unwrap();
        let began = Instant::now();
        let numbers = EARLY.map(Signal::as_raw);
        while !handles(&child, &numbers) {
            let ended = child.try_wait().unwrap();
            assert!(ended.is_none(), "{}: {ended:?}", kind.name);
            assert!(
                began.elapsed() < PATIENCE,
                "{} has no handlers for early signals",
                kind.name
            );
        }
        let pid = Pid::from_child(&child);
        for signal in EARLY {
            kill_process(pid, signal).unwrap();
        }
        assert!(ends_well(&mut child), "{}", kind.name);
    }
}
