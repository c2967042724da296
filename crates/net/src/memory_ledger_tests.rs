use crate::prelude::*;

const MIB: usize = 1 << 20;
const LIMITS: MemoryLimits = MemoryLimits {
    total_bytes: 72 * MIB,
    answer_bytes: 64 * MIB,
};

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

/// Result of adding bytes to one body.
#[derive(Debug, PartialEq)]
enum Step {
    Taken,
    Refused,
}

/// Ledger with the bodies that are still there.
struct BodyLoad {
    ledger: MemoryLedger,
    evicted: Vec<BodyId>,
}

impl BodyLoad {
    fn new() -> Self {
        Self {
            ledger: MemoryLedger::new(LIMITS),
            evicted: Vec::new(),
        }
    }

    fn open(&mut self, announced: Option<usize>, priority: u32, now: MonoTime) -> BodyId {
        self.ledger
            .open(BodyAccount::reading(announced, priority, now))
    }

    /// Adds bytes in pieces of up to 64 KiB, and evicts as decided.
    fn add(&mut self, id: BodyId, mut bytes: usize, now: MonoTime) -> Step {
        while bytes > 0 {
            let piece = bytes.min(64 << 10);
            self.ledger.record_progress(id, now);
            match self.ledger.decide(id, piece, now) {
                MemoryVerdict::Take => {}
                MemoryVerdict::Evict(victims) => {
                    for victim in victims {
                        self.ledger.close(victim);
                        self.evicted.push(victim);
                    }
                }
                MemoryVerdict::Refuse => {
                    self.ledger.close(id);
                    return Step::Refused;
                }
            }
            assert!(self.ledger.take(id, piece));
            assert!(self.ledger.used() <= LIMITS.total_bytes);
            bytes -= piece;
        }
        Step::Taken
    }
}

// Guards against bodies stopped one byte short that hold the memory against callers that go on.
#[test]
fn bodies_stopped_short_are_evicted_for_one_that_comes_later() {
    let mut load = BodyLoad::new();
    let stopped: Vec<_> = (0..8)
        .map(|_| {
            let id = load.open(Some(8 * MIB), 0, at(0));
            assert_eq!(load.add(id, 8 * MIB - 1, at(0)), Step::Taken);
            id
        })
        .collect();
    let ordinary = load.open(Some(8 * MIB), 3, at(2_500));
    assert_eq!(load.add(ordinary, 8 * MIB, at(2_500)), Step::Taken);
    assert!(!load.evicted.is_empty());
    assert!(load.evicted.iter().all(|id| stopped.contains(id)));
}

// Guards against an order of eviction that ignores how long a body has stopped: the one that
// stopped for longest goes first, also if it is smaller and of higher priority.
#[test]
fn body_without_progress_for_longest_is_evicted_first() {
    let mut load = BodyLoad::new();
    let longest = load.open(Some(10 * MIB), 0, at(0));
    load.add(longest, 9 * MIB, at(0));
    let shorter = load.open(Some(60 * MIB), 5, at(3_000));
    load.add(shorter, 50 * MIB, at(3_000));
    let ordinary = load.open(Some(16 * MIB), 1, at(5_000));
    assert_eq!(load.add(ordinary, 12 * MIB, at(5_000)), Step::Taken);
    assert_eq!(load.evicted, [longest]);
}

// Guards against many slow bodies of which none is ever read to its end, because each evicts
// another one in turn.
#[test]
fn earliest_of_many_slow_bodies_are_read_to_their_end() {
    let mut load = BodyLoad::new();
    let bodies: Vec<_> = (0..40)
        .map(|_| load.open(Some(8 * MIB), 0, at(0)))
        .collect();
    let mut refused = Vec::new();
    for step in 0..128 {
        for id in &bodies {
            let is_gone = load.evicted.contains(id) || refused.contains(id);
            if !is_gone && load.add(*id, 64 << 10, at(step * 50)) == Step::Refused {
                refused.push(*id);
            }
        }
    }
    let complete: Vec<_> = bodies
        .iter()
        .filter(|id| load.ledger.account(**id).map(|account| account.held_bytes) == Some(8 * MIB))
        .copied()
        .collect();
    assert_eq!(complete, bodies[..8], "as many as there is room for");
}

// Guards against whole bodies that come faster than they are forwarded: the bound holds, those that
// wait are kept, and the later ones are refused.
#[test]
fn whole_bodies_that_wait_are_kept_before_later_ones_of_the_same_size() {
    let mut load = BodyLoad::new();
    let mut kept = Vec::new();
    for index in 0..400 {
        let id = load.open(Some(MIB), 0, at(index));
        if load.add(id, MIB, at(index)) == Step::Taken {
            load.ledger.set_stage(id, BodyStage::Waiting);
            kept.push(id);
        }
    }
    assert_eq!(kept.len(), 67);
    assert_eq!(load.evicted, []);
    let first = kept[0];
    load.ledger.close(first);
    let id = load.open(Some(MIB), 0, at(9_000));
    assert_eq!(
        load.add(id, MIB, at(9_000)),
        Step::Taken,
        "room is used again"
    );
}

// Guards against a time that a complete body waits for a server being taken for a stopped caller.
#[test]
fn stopped_body_is_evicted_before_one_that_waits_for_a_server() {
    let mut load = BodyLoad::new();
    let waiting = load.open(Some(32 * MIB), 0, at(0));
    load.add(waiting, 32 * MIB, at(0));
    load.ledger.set_stage(waiting, BodyStage::Waiting);
    let stopped = load.open(Some(32 * MIB), 0, at(2_000));
    load.add(stopped, 30 * MIB, at(2_000));
    let ordinary = load.open(Some(8 * MIB), 0, at(4_000));
    assert_eq!(load.add(ordinary, 8 * MIB, at(4_000)), Step::Taken);
    assert_eq!(load.evicted, [stopped]);
}

// Guards against a budget that the largest permitted body does not fit, whether it has a length or
// not.
#[test]
fn one_large_body_alone_is_taken() {
    for announced in [Some(64 * MIB), None] {
        let mut load = BodyLoad::new();
        let id = load.open(announced, 0, at(0));
        assert_eq!(load.add(id, 64 * MIB, at(0)), Step::Taken);
        assert!(load.ledger.set_stage(id, BodyStage::Forwarded));
        load.ledger.close(id);
        assert_eq!(load.ledger.used(), 0);
    }
}

// Guards against ordinary small requests that are refused while forwarded large bodies, which are
// never evicted, fill the budget.
#[test]
fn small_bodies_are_taken_beside_a_full_budget() {
    let mut load = BodyLoad::new();
    let large = load.open(Some(66 * MIB), 0, at(0));
    assert_eq!(load.add(large, 66 * MIB, at(0)), Step::Taken);
    load.ledger.set_stage(large, BodyStage::Forwarded);
    let medium = load.open(Some(4 * MIB), 0, at(0));
    assert_eq!(load.add(medium, 4 * MIB, at(0)), Step::Refused);
    for _ in 0..40 {
        let small = load.open(Some(60 << 10), 0, at(0));
        assert_eq!(load.add(small, 60 << 10, at(0)), Step::Taken);
    }
    assert_eq!(load.evicted, []);
}

// Guards against many small bodies stopped short that take the part which is reserved for small
// ones.
#[test]
fn stopped_small_bodies_are_evicted_for_small_ones() {
    let mut load = BodyLoad::new();
    for _ in 0..2_000 {
        let id = load.open(Some(64 << 10), 0, at(0));
        load.add(id, (64 << 10) - 1, at(0));
    }
    let before = load.evicted.len();
    let small = load.open(Some(1 << 10), 0, at(2_000));
    assert_eq!(load.add(small, 1 << 10, at(2_000)), Step::Taken);
    assert_eq!(load.evicted.len(), before + 1);
}

// Guards against large bodies that take the place of small ones: these free nothing of what large
// ones may use.
#[test]
fn small_bodies_are_not_evicted_when_only_the_part_for_large_ones_is_full() {
    let mut load = BodyLoad::new();
    let small = load.open(Some(1 << 10), 9, at(0));
    load.add(small, 1 << 10, at(0));
    let first = load.open(Some(60 * MIB), 0, at(1_000));
    load.add(first, 60 * MIB, at(1_000));
    let second = load.open(Some(16 * MIB), 0, at(2_500));
    assert_eq!(load.add(second, 16 * MIB, at(2_500)), Step::Taken);
    assert_eq!(load.evicted, [first]);
}

// Guards against the eviction of a request that may have run, which its caller would be told has
// not.
#[test]
fn request_that_has_been_forwarded_is_never_evicted() {
    let mut load = BodyLoad::new();
    let forwarded = load.open(Some(60 * MIB), 9, at(0));
    load.add(forwarded, 60 * MIB, at(0));
    load.ledger.set_stage(forwarded, BodyStage::Forwarded);
    let later = load.open(Some(16 * MIB), 0, at(60_000));
    assert_eq!(load.add(later, 16 * MIB, at(60_000)), Step::Refused);
    assert_eq!(load.evicted, []);
}

// Guards against a low priority that counts for nothing among bodies of the same size.
#[test]
fn body_of_lower_priority_is_evicted_before_a_later_one() {
    let mut load = BodyLoad::new();
    let low = load.open(Some(32 * MIB), 7, at(0));
    load.add(low, 30 * MIB, at(0));
    let middle = load.open(Some(32 * MIB), 3, at(0));
    load.add(middle, 30 * MIB, at(0));
    let high = load.open(Some(32 * MIB), 0, at(100));
    assert_eq!(load.add(high, 32 * MIB, at(100)), Step::Taken);
    assert_eq!(load.evicted, [low]);
}

// Guards against a length that is announced and never sent, which would keep others out.
#[test]
fn announced_length_alone_takes_nothing() {
    let mut load = BodyLoad::new();
    for _ in 0..1_000 {
        load.open(Some(64 * MIB), 0, at(0));
    }
    assert_eq!(load.ledger.used(), 0);
    let ordinary = load.open(Some(32 * MIB), 0, at(0));
    assert_eq!(load.add(ordinary, 32 * MIB, at(0)), Step::Taken);
}

// Guards against answers that are lost for lack of memory while requests that have not run hold it,
// and against answers that together take more than their bound.
#[test]
fn answers_evict_waiting_requests_and_keep_their_bound() {
    let mut load = BodyLoad::new();
    let request = load.open(Some(60 * MIB), 0, at(0));
    load.add(request, 60 * MIB, at(0));
    load.ledger.set_stage(request, BodyStage::Waiting);
    let answer = load.ledger.open(BodyAccount::answer(None, at(0)));
    assert_eq!(load.add(answer, 32 * MIB, at(0)), Step::Taken);
    assert_eq!(load.evicted, [request]);
    let second = load.ledger.open(BodyAccount::answer(None, at(0)));
    assert_eq!(load.add(second, 33 * MIB, at(0)), Step::Refused);
}
