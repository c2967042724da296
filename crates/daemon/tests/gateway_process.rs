//! A gateway instance as a process: settings, logs, readiness and stop.

mod common;

use common::{PIPE_BYTES, WAIT_TIMEOUT, loopback_host, send_signal, spawn_gateway, wait_for};
use geraniummast_platform::READINESS_PATH;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, TcpStream},
    process::ChildStdout,
    time::{Duration, Instant},
};

/// Status of the answer to a GET request; `None` without an answer.
fn status_of(host: Ipv4Addr, port: u16, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect((host, port)).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: one.example\r\nConnection: close\r\n\r\n"
    )
    .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split(' ').nth(1)?.parse().ok()
}

/// Waits until the log says that the instance has started; returns the lines that follow.
fn wait_started(stdout: ChildStdout) -> impl Iterator<Item = String> {
    let mut lines = BufReader::new(stdout).lines().map(Result::unwrap);
    assert!(lines.any(|line| line.contains("message=started")));
    lines
}

#[test]
fn invalid_settings_are_all_reported_and_nothing_starts() {
    let invalid = ["--drain-s=never", "--retry-ratio=7", "--log-level=loud"];
    let output = spawn_gateway(loopback_host(1), &invalid)
        .wait_with_output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{text}");
    for source in ["--drain-s:", "--retry-ratio:", "--log-level:"] {
        assert_eq!(text.matches(source).count(), 1, "{text}");
    }
    assert!(output.stdout.is_empty());
}

#[test]
fn instance_without_configuration_is_unready_and_answers_503() {
    let host = loopback_host(2);
    let mut child = spawn_gateway(host, &["--stop-timeout-s=1"]);
    let lines = wait_started(child.stdout.take().unwrap());
    assert_eq!(status_of(host, 18_388, READINESS_PATH), Some(503));
    assert_eq!(status_of(host, 18_381, "/a/b"), Some(503));
    assert_eq!(status_of(host, 19_464, "/metrics"), Some(200));
    assert_eq!(status_of(host, 19_464, "/dump"), Some(200));
    send_signal(&child, "HUP");
    assert_eq!(
        status_of(host, 18_381, "/a/b"),
        Some(503),
        "SIGHUP does not end the instance"
    );
    send_signal(&child, "TERM");
    let text: Vec<String> = lines.collect();
    assert_eq!(child.wait().unwrap().code(), Some(0));
    assert!(
        text.iter()
            .any(|line| line.contains("reason=no-configuration"))
    );
    assert!(text.iter().any(|line| line.contains("message=stopped")));
}

#[test]
fn full_log_pipe_delays_no_request() {
    let host = loopback_host(3);
    let mut child = spawn_gateway(host, &[]);
    let stdout = child.stdout.take().unwrap();
    rustix::pipe::fcntl_setpipe_size(&stdout, PIPE_BYTES).unwrap();
    assert!(wait_for(|| status_of(host, 18_381, "/a/b").is_some()));
    // Refusals write 20 log lines a second: the pipe is full after a second.
    let began = Instant::now();
    let mut answered = 0;
    while began.elapsed() < Duration::from_secs(4) {
        assert_eq!(status_of(host, 18_381, "/a/b"), Some(503));
        answered += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    let unread = rustix::io::ioctl_fionread(&stdout).unwrap() as usize;
    assert!(
        unread * 2 > PIPE_BYTES,
        "only {unread} bytes wait in the pipe: it was never full"
    );
    assert!(answered > 20, "{answered} answers in four seconds");
    child.kill().unwrap();
    child.wait().unwrap();
}
