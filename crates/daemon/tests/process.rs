//! Tests of the daemon's process: exit codes and signals.

mod common;

use common::send_signal;
use std::{
    io::{BufRead, BufReader},
    process::{Command, Stdio},
};

/// Returns a command that runs the daemon with captured output.
fn daemon_command(flags: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_geraniummastd"));
    command
        .args(flags)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

/// All required settings.
const REQUIRED_FLAGS: [&str; 8] = [
    "--name=a1",
    "--data-centre=dc1",
    "--caller-address=127.0.0.1:0",
    "--peer-address=127.0.0.1:0",
    "--operator-address=127.0.0.1:0",
    "--store-address=127.0.0.1:9",
    "--peer-secret=0123456789abcdef",
    "--operator-token=0123456789abcdef",
];

#[test]
fn invalid_settings_are_each_reported_once_with_exit_code_2() {
    let invalid_flags = [
        "--worker-threads=0",
        "--max-headers=many",
        "--log-level=loud",
    ];
    let output = daemon_command(&[&REQUIRED_FLAGS[..], &invalid_flags].concat())
        .output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{text}");
    for flag in ["--worker-threads:", "--max-headers:", "--log-level:"] {
        assert_eq!(text.matches(flag).count(), 1, "{text}");
    }
    assert!(!text.contains("started"), "{text}");
}

#[test]
fn sigterm_and_sigint_stop_idle_daemon_with_exit_code_0() {
    for name in ["TERM", "INT"] {
        let mut child = daemon_command(&REQUIRED_FLAGS).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let started = lines.any(|line| line.unwrap().contains("started"));
        assert!(started, "the daemon ended without logging its start");
        send_signal(&child, name);
        lines.for_each(drop);
        assert_eq!(child.wait().unwrap().code(), Some(0), "SIG{name}");
    }
}
