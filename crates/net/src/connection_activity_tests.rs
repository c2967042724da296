//! Tests of the phases and stalls of a connection.

use crate::prelude::*;

const LIMITS: StallLimits = StallLimits {
    head: Duration::from_secs(10),
    write: Duration::from_secs(30),
};

fn at(seconds: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_secs(seconds))
}

// Load pattern: callers that keep idle connections. Guards against the time limit of heads closing
// connections on which no head has begun.
#[test]
fn resting_connection_does_not_stall() {
    let mut activity = ConnectionActivity::new(at(0));
    assert!(!activity.find_stall(LIMITS, at(70)));
    activity.receive(at(70));
    activity.run(at(70));
    activity.rest(at(71));
    assert!(!activity.find_stall(LIMITS, at(140)));
}

// Load pattern: heads sent in part and held. Guards against connections that count as in progress
// for as long as an idle one may rest.
#[test]
fn head_stalls_after_its_limit_from_the_first_byte() {
    let mut activity = ConnectionActivity::new(at(0));
    activity.receive(at(60));
    activity.receive(at(69));
    assert!(!activity.find_stall(LIMITS, at(70)));
    assert!(activity.find_stall(LIMITS, at(71)));
    assert_eq!(activity.stall(), Some(StallKind::Head));
}

// Load pattern: requests that run for long. Guards against the time limit of heads ending requests.
#[test]
fn running_request_does_not_stall() {
    let mut activity = ConnectionActivity::new(at(0));
    activity.receive(at(1));
    activity.run(at(2));
    assert!(!activity.find_stall(LIMITS, at(200)));
}

// Load pattern: callers that do not read their answers. Guards against answers held for ever, and
// against closing a connection on which bytes were sent in between.
#[test]
fn write_stalls_after_its_limit_from_the_last_progress() {
    let mut activity = ConnectionActivity::new(at(0));
    activity.receive(at(0));
    activity.run(at(0));
    activity.block_write(at(1));
    activity.unblock_write();
    activity.block_write(at(20));
    activity.block_write(at(40));
    assert!(!activity.find_stall(LIMITS, at(50)));
    assert!(activity.find_stall(LIMITS, at(51)));
    assert_eq!(activity.stall(), Some(StallKind::Write));
}

// Load pattern: a process that was paused while its callers sent. Guards against closing a
// connection whose bytes arrived before the stall was acted on.
#[test]
fn progress_cancels_a_stall() {
    let mut activity = ConnectionActivity::new(at(0));
    activity.receive(at(0));
    assert!(activity.find_stall(LIMITS, at(11)));
    activity.run(at(11));
    assert_eq!(activity.stall(), None);
    activity.block_write(at(12));
    assert!(activity.find_stall(LIMITS, at(43)));
    activity.unblock_write();
    assert_eq!(activity.stall(), None);
}
