//! Tests of what still gets memory while forwarded requests hold all of it.

use {
    geraniummast_model::MonoTime,
    geraniummast_net::{BodyWriter, MemoryBudget, StoredBody},
    std::sync::Arc,
};

const KIB: usize = 1 << 10;
const NOW: MonoTime = MonoTime(0);

fn forwarded(budget: &Arc<MemoryBudget>, bytes: usize) -> Option<StoredBody> {
    let mut writer = BodyWriter::request(budget, Some(bytes), 9, NOW);
    writer.push(&vec![b'x'; bytes], NOW).ok()?;
    let body = writer.finish().ok()?;
    body.forward()?;
    Some(body)
}

// Load pattern: more uploads of 64 KiB run on servers than the budget holds. Guards against an answer
// of ordinary size that a server has given and that its caller does not get.
#[test]
fn small_answer_has_room_beside_small_forwarded_requests() {
    let budget = MemoryBudget::new(1_024 * KIB);
    let sizes = std::iter::repeat_n(64 * KIB, 16).chain([32 * KIB, 16 * KIB]);
    let running: Vec<_> = sizes.filter_map(|size| forwarded(&budget, size)).collect();
    assert!(running.len() >= 16, "{}", running.len());
    let mut answer = BodyWriter::answer(&budget, Some(32 * KIB), NOW);
    assert_eq!(answer.push(&vec![b'x'; 32 * KIB], NOW), Ok(()));
}

// Load pattern: small uploads of the lowest priority run on servers, more than the budget holds. Guards
// against a request of the highest priority that is refused because of them.
#[test]
fn highest_priority_has_room_beside_forwarded_requests_of_the_lowest() {
    let budget = MemoryBudget::new(1_024 * KIB);
    let sizes = std::iter::repeat_n(64 * KIB, 16).chain([32 * KIB, 16 * KIB]);
    let _running: Vec<_> = sizes.filter_map(|size| forwarded(&budget, size)).collect();
    let mut urgent = BodyWriter::request(&budget, Some(16 * KIB), 0, NOW);
    assert_eq!(urgent.push(&vec![b'x'; 16 * KIB], NOW), Ok(()));
}
