//! Many concurrent large bodies, large responses and idle connections.
//!
//! Each test loads a gateway process whose machine is small, and checks that the process lives,
//! that its memory and descriptors stay within the machine, and that an ordinary request is
//! answered while the connections of the load are still open. How many of the loading requests are
//! served is not checked. The bodies of a load are about twice as much as the machine's memory.

mod caller_load;
#[path = "../common/mod.rs"]
mod common;
mod http_server;
mod loaded_instance;
mod small_site;

use caller_load::{
    BodyFraming, SentBody, connect, head, open_silent, read_answer_head, read_body_slowly,
    run_callers,
};
use common::loopback_host;
use loaded_instance::{LoadedInstance, MachineLimits};
use small_site::{
    LARGE_LOOKUP, LARGE_RESPONSE_BYTES, SLOW_LARGE_LOOKUP, SLOW_LOOKUP, SLOW_UPLOAD, SmallSite,
};
use std::{
    io::Write,
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

/// Only one of these tests runs at a time.
static RUNNING: Mutex<()> = Mutex::new(());

/// Machine of most tests: about half of the memory of the smallest one in use, so that small loads
/// exceed it, and its descriptors.
const SMALL_MACHINE: MachineLimits = MachineLimits {
    memory_mib: 64,
    descriptors: 3_075,
};
/// Smallest machine in use.
const SMALLEST_MACHINE_IN_USE: MachineLimits = MachineLimits {
    memory_mib: 120,
    descriptors: 3_075,
};
/// Longest body that the configuration permits in most tests, in bytes.
const MAX_BODY_BYTES: usize = 2 << 20;
/// Longest body that the configuration in use permits, in bytes.
const MAX_BODY_BYTES_IN_USE: usize = 64 << 20;
/// Number of callers, whose bodies together are 120 MiB.
const CALLERS: usize = 60;
/// Address number of the site.
const SITE_NUMBER: u8 = 0;

/// Waits for the other tests of this file; a test that failed does not fail the others.
fn lock() -> MutexGuard<'static, ()> {
    RUNNING
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Starts a site and one instance, with address number `number`, that serves requests.
fn start(number: u8, limits: MachineLimits, extra_flags: &[&str]) -> (SmallSite, LoadedInstance) {
    let site = SmallSite::start(loopback_host(SITE_NUMBER), MAX_BODY_BYTES);
    let instance = LoadedInstance::launch(&site, loopback_host(number), limits, extra_flags);
    instance.assert_serving();
    (site, instance)
}

/// Asserts that a small machine survives callers that send `body` to `path`.
fn assert_survives(number: u8, body: SentBody, path: &str) {
    let _running = lock();
    let (_site, mut instance) = start(number, SMALL_MACHINE, &[]);
    let send = |stream: &mut TcpStream| body.send(stream, path);
    let held = run_callers(instance.caller_address, CALLERS, send);
    instance.assert_unharmed();
    drop(held);
}

// Guards against unbounded memory for the bodies of requests that are waiting or being sent.
#[test]
fn complete_bodies_sent_at_once_stay_within_memory() {
    assert_survives(1, SentBody::complete(MAX_BODY_BYTES), SLOW_LOOKUP);
}

// Guards against memory for each piece of a body that is not counted.
#[test]
fn bodies_in_small_pieces_stay_within_memory() {
    let body = SentBody {
        piece: 4 << 10,
        pause: Duration::from_millis(1),
        ..SentBody::complete(MAX_BODY_BYTES)
    };
    assert_survives(2, body, SLOW_LOOKUP);
}

// Guards against unfinished bodies that are kept without a bound while their callers wait.
#[test]
fn bodies_stopped_one_byte_short_stay_within_memory() {
    let body = SentBody {
        withheld: 1,
        ..SentBody::complete(MAX_BODY_BYTES)
    };
    assert_survives(3, body, "/lookup/short");
}

// Guards against bodies that are counted by their announced length only.
#[test]
fn chunked_bodies_without_an_end_stay_within_memory() {
    let body = SentBody {
        framing: BodyFraming::Chunked,
        withheld: 1,
        piece: 512,
        ..SentBody::complete(MAX_BODY_BYTES)
    };
    assert_survives(4, body, "/lookup/chunked");
}

// Guards against unbounded memory for the bodies of requests that may not be repeated.
#[test]
fn uploads_stay_within_memory() {
    assert_survives(5, SentBody::complete(MAX_BODY_BYTES), SLOW_UPLOAD);
}

// Guards against bodies that are not counted on their way to and at the instance that relays them.
#[test]
fn bodies_through_a_relay_stay_within_memory() {
    let _running = lock();
    let (site, mut relay) = start(6, SMALL_MACHINE, &[]);
    let mut instance = LoadedInstance::launch(&site, loopback_host(7), SMALL_MACHINE, &[]);
    // The instance has no connection to a server yet: what it serves has been relayed.
    site.refuse_process(instance.process_id());
    instance.assert_serving();
    let body = SentBody::complete(MAX_BODY_BYTES);
    let send = |stream: &mut TcpStream| body.send(stream, SLOW_LOOKUP);
    let held = run_callers(instance.caller_address, CALLERS, send);
    let harm = [instance.check_unharmed(), relay.check_unharmed()];
    drop(held);
    assert_eq!(harm, [None, None], "the instance and its relay");
}

// Guards against large responses that are kept without a bound while callers do not read them.
#[test]
fn responses_that_are_not_read_stay_within_memory() {
    let _running = lock();
    let (_site, mut instance) = start(8, SMALL_MACHINE, &[]);
    let held = run_callers(instance.caller_address, CALLERS, |stream| {
        stream.write_all(head("GET", LARGE_LOOKUP, "Accept: */*").as_bytes())?;
        read_answer_head(stream).map(drop)
    });
    instance.assert_unharmed();
    drop(held);
}

// Guards against requests being read ahead while an earlier one on their connection still runs, and
// against pipelined bodies that are not counted.
#[test]
fn requests_pipelined_behind_a_slow_one_stay_within_memory() {
    let _running = lock();
    let (_site, mut instance) = start(9, SMALL_MACHINE, &[]);
    let body = SentBody::complete(MAX_BODY_BYTES);
    let held = run_callers(instance.caller_address, CALLERS, |stream| {
        stream.write_all(head("GET", SLOW_LOOKUP, "Accept: */*").as_bytes())?;
        (0..2).try_for_each(|_| body.send(stream, SLOW_LOOKUP))?;
        read_answer_head(stream).map(drop)
    });
    instance.assert_unharmed();
    drop(held);
}

// Guards against large amounts of memory per connection that sends nothing.
#[test]
fn thousand_silent_connections_stay_within_memory() {
    let _running = lock();
    let (_site, mut instance) = start(10, SMALL_MACHINE, &[]);
    let held = open_silent(instance.caller_address, 1_000);
    instance.assert_unharmed();
    drop(held);
}

// Guards against silent connections that use up the descriptors, where fewer are there than
// `--max-connections` has by default.
#[test]
fn silent_connections_leave_descriptors_free() {
    let limits = MachineLimits {
        descriptors: 1_024,
        ..SMALL_MACHINE
    };
    let _running = lock();
    let (_site, mut instance) = start(11, limits, &[]);
    let held = open_silent(instance.caller_address, 1_200);
    instance.assert_unharmed();
    drop(held);
}

// Guards against silent connections that lock out all other callers.
#[test]
fn more_silent_connections_than_permitted_lock_out_no_caller() {
    let _running = lock();
    let (_site, mut instance) = start(12, SMALL_MACHINE, &["--max-connections=200"]);
    let held = open_silent(instance.caller_address, 300);
    instance.assert_unharmed();
    drop(held);
}

/// Asserts that the smallest machine in use serves one body of the largest permitted size.
fn assert_serves_largest(number: u8, framing: BodyFraming) {
    let _running = lock();
    let site = SmallSite::start(loopback_host(SITE_NUMBER), MAX_BODY_BYTES_IN_USE);
    let host = loopback_host(number);
    let mut instance = LoadedInstance::launch(&site, host, SMALLEST_MACHINE_IN_USE, &[]);
    instance.assert_serving();
    let mut stream = connect(instance.caller_address).unwrap();
    let body = SentBody {
        framing,
        ..SentBody::complete(MAX_BODY_BYTES_IN_USE)
    };
    let sent = body.send(&mut stream, "/upload/largest");
    let answer = read_answer_head(&mut stream).unwrap_or_default();
    assert!(answer.starts_with("HTTP/1.1 200"), "{sent:?}, {answer:?}");
    instance.assert_unharmed();
}

// Guards against copies of a body, and against a budget that refuses the largest permitted one.
#[test]
fn largest_permitted_body_is_served_on_the_smallest_machine() {
    assert_serves_largest(13, BodyFraming::Length);
}

// Guards against a budget that grows in too large steps for a body of unknown length.
#[test]
fn largest_permitted_chunked_body_is_served_on_the_smallest_machine() {
    assert_serves_largest(14, BodyFraming::Chunked);
}

// Guards against answers that are cut since the process ends, or closes their connections, while their
// callers read them and have sent further requests (docs/incidents/cut-answers.md).
#[test]
fn stop_cuts_no_answer_before_unread_requests() {
    /// Pause after each block that the caller reads: the whole answer takes some three seconds.
    const READ_PAUSE: Duration = Duration::from_millis(20);
    let _running = lock();
    let (_site, mut instance) = start(15, SMALL_MACHINE, &["--stop-timeout-s=10"]);
    let mut stream = connect(instance.caller_address).unwrap();
    for _ in 0..3 {
        let request = head("GET", SLOW_LARGE_LOOKUP, "Accept: */*");
        stream.write_all(request.as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(100));
    }
    instance.begin_stop();
    let received = read_body_slowly(&mut stream, READ_PAUSE, LARGE_RESPONSE_BYTES);
    assert_eq!(received, LARGE_RESPONSE_BYTES);
    drop(stream);
    assert_eq!(instance.wait_exited(), Some(0));
}
