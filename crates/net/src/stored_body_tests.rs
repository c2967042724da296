use crate::prelude::*;
use hyper::body::Body;

const MIB: usize = 1 << 20;

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

fn write(budget: &Arc<MemoryBudget>, bytes: usize, now: MonoTime) -> BodyWriter {
    let mut writer = BodyWriter::request(budget, Some(bytes), 0, now);
    writer.push(&vec![7; bytes], now).unwrap();
    writer
}

// Guards against memory that stays reserved after a body's last user is gone, whichever it was.
#[test]
fn dropped_body_gives_its_memory_back() {
    let budget = MemoryBudget::new(8 * MIB);
    drop(write(&budget, MIB, at(0)));
    assert_eq!(budget.used(), 0);
    let body = write(&budget, MIB, at(0)).finish().unwrap();
    let sent = body.forward().unwrap();
    drop(body);
    assert_eq!(budget.used(), MIB, "a connection still sends the body");
    drop(sent);
    assert_eq!(budget.used(), 0);
    drop(BodyWriter::request(&budget, None, 0, at(0)).finish());
    assert_eq!(budget.left(), 8 * MIB);
}

// Guards against an evicted request that keeps its blocks until its caller disconnects, or that is
// forwarded without them.
#[test]
fn evicted_body_is_freed_at_once_and_not_forwarded() {
    let budget = MemoryBudget::new(8 * MIB);
    let waiting = write(&budget, 7 * MIB, at(0)).finish().unwrap();
    let reading = write(&budget, 3 * MIB, at(10));
    assert!(waiting.is_evicted());
    assert!(waiting.blocks().is_empty());
    assert!(waiting.forward().is_none());
    future::block_on(waiting.wait_evicted());
    assert!(budget.used() < 4 * MIB);
    drop(reading);
    drop(waiting);
    assert_eq!(budget.used(), 0);
}

// Guards against a reader that goes on storing after its body has been evicted.
#[test]
fn evicted_body_takes_no_more_bytes() {
    let budget = MemoryBudget::new(8 * MIB);
    let mut stopped = BodyWriter::request(&budget, Some(6 * MIB), 0, at(0));
    stopped.push(&vec![7; 5 * MIB], at(0)).unwrap();
    let ordinary = write(&budget, 4 * MIB, at(3_000)).finish().unwrap();
    assert_eq!(stopped.push(&[7], at(3_100)), Err(MemoryDenial::Evicted));
    assert!(matches!(stopped.finish(), Err(MemoryDenial::Evicted)));
    assert_eq!(ordinary.into_bytes(), vec![7; 4 * MIB]);
}

// Guards against a forwarded request that loses its body, which a second attempt needs.
#[test]
fn forwarded_body_is_kept_for_further_attempts() {
    let budget = MemoryBudget::new(8 * MIB);
    let body = write(&budget, 6 * MIB, at(0)).finish().unwrap();
    drop(body.forward().unwrap());
    let mut later = BodyWriter::request(&budget, Some(4 * MIB), 0, at(9_000));
    let pushed = later.push(&vec![8; 4 * MIB], at(9_000));
    assert_eq!(pushed, Err(MemoryDenial::NoRoom));
    let second = body.forward().unwrap();
    let sent = future::block_on(second.collect()).unwrap().to_bytes();
    assert_eq!(sent, vec![7; 6 * MIB]);
}

// Guards against a request without a body that is sent with one, or with a length that it did not
// have.
#[test]
fn empty_body_ends_at_once_and_takes_no_memory() {
    let body = StoredBody::default();
    assert!(body.is_empty() && !body.is_evicted());
    let sent = body.forward().unwrap();
    assert!(sent.is_end_stream());
    assert_eq!(sent.size_hint().exact(), Some(0));
    assert_eq!(body.into_bytes(), Bytes::new());
}
