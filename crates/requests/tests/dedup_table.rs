//! The memory of request ids against a naive one that never forgets.

use {
    geraniummast_requests::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::HashMap, time::Duration},
    uuid::Uuid,
};

const START_MS: u64 = 1_700_000_000_000;

fn id(made_at_ms: u64, tail: u32) -> Uuid {
    Uuid::from_u128(
        u128::from(made_at_ms) << 80 | 0x7 << 76 | 0x8000_0000_0000_0000 | u128::from(tail),
    )
}

fn query(id: Uuid, digest: u128) -> DedupQuery {
    DedupQuery {
        id,
        digest,
        is_first_attempt: false,
    }
}

fn kept(answer: u32, bytes: usize) -> RunStage<u32> {
    RunStage::Ran(Some(RecordedAnswer { answer, bytes }))
}

fn attempt_of(step: &DedupStep<u32>) -> u64 {
    match step {
        DedupStep::Run { attempt } => *attempt,
        other => panic!("not run: {other:?}"),
    }
}

fn refusal_of(step: DedupStep<u32>) -> RefusalNotice {
    match step {
        DedupStep::Refuse(notice) => notice,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn a_repeat_gets_progress_then_the_recorded_answer() {
    let mut memory = DedupTable::new(DedupLimits::default());
    let id = id(START_MS, 1);
    let attempt = attempt_of(&memory.begin(query(id, 5), START_MS));
    let notice = refusal_of(memory.begin(query(id, 5), START_MS));
    assert_eq!(notice.reason, RefusalReason::InProgress);
    assert!(notice.retry_after.is_some());
    memory.finish(id, attempt, kept(42, 10));
    assert_eq!(memory.begin(query(id, 5), START_MS), DedupStep::Answer(42));
    let notice = refusal_of(memory.begin(query(id, 6), START_MS));
    assert_eq!(notice.reason, RefusalReason::IdReused);
    assert_eq!(notice.outcome, RunOutcome::NotRun);
}

#[test]
fn ids_outside_the_window_never_run() {
    let mut memory = DedupTable::<u32>::new(DedupLimits::default());
    let old = refusal_of(memory.begin(query(id(START_MS - 600_001, 1), 0), START_MS));
    assert_eq!(
        old,
        RefusalNotice::may_have_run(RefusalReason::OutcomeForgotten)
    );
    let ahead = refusal_of(memory.begin(query(id(START_MS + 2_001, 1), 0), START_MS));
    assert_eq!(ahead, RefusalNotice::not_run(RefusalReason::BadRequest));
    let random = Uuid::from_u128(7);
    let random = refusal_of(memory.begin(query(random, 0), START_MS));
    assert_eq!(random, RefusalNotice::not_run(RefusalReason::BadRequest));
}

#[test]
fn a_late_withdrawal_leaves_a_later_attempt_alone() {
    let mut leader = DedupTable::<u32>::new(DedupLimits::default());
    let mut standby = DedupTable::<u32>::new(DedupLimits::default());
    let id = id(START_MS, 1);
    let first = attempt_of(&leader.begin(query(id, 0), START_MS));
    leader.withdraw(id, first);
    let second = attempt_of(&leader.begin(query(id, 0), START_MS));
    standby.merge(id, leader.get(id).unwrap().clone());
    standby.withdraw(id, first);
    standby.mark_running_unclear();
    let notice = refusal_of(standby.begin(query(id, 0), START_MS));
    assert_eq!(notice.outcome, RunOutcome::Unknown);
    assert!(second > first);
}

/// Leader with a standby whose notes arrive before each run and whose reports of ends may be lost.
#[test]
fn no_id_runs_twice_in_any_history() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let bounds = DedupLimits {
            window: Duration::from_millis(500),
            ahead: Duration::from_millis(20),
            entries: random.random_range(4..40),
            bytes: 60,
            answer_bytes: 30,
        };
        let mut leader = DedupTable::<u32>::new(bounds);
        let mut standby = leader.clone();
        let mut naive: HashMap<Uuid, u32> = HashMap::new();
        let mut running: Vec<(Uuid, u64)> = Vec::new();
        let mut ids: Vec<Uuid> = Vec::new();
        let mut now = START_MS;
        for step in 0..400_u32 {
            now += random.random_range(0..8);
            match random.random_range(0..100) {
                0..50 => {
                    if ids.is_empty() || random.random_bool(0.5) {
                        let made_at = now + random.random_range(0..20) - 10;
                        ids.push(id(made_at, step));
                    }
                    let id = ids[random.random_range(0..ids.len())];
                    match leader.begin(query(id, id.as_u128()), now) {
                        DedupStep::Run { attempt } => {
                            let runs = naive.entry(id).or_default();
                            *runs += 1;
                            assert_eq!(*runs, 1, "seed {seed}, step {step}: {id} ran twice");
                            if let Some(entry) = leader.get(id) {
                                standby.merge(id, entry.clone());
                            }
                            standby.raise_floor(leader.floor_ms());
                            running.push((id, attempt));
                        }
                        DedupStep::Answer(answer) => {
                            assert_eq!(answer, id.as_u128() as u32, "seed {seed}, step {step}");
                        }
                        DedupStep::Refuse(notice) => {
                            let ran = naive.contains_key(&id);
                            assert!(!ran || notice.outcome != RunOutcome::NotRun, "seed {seed}");
                        }
                    }
                }
                50..80 if !running.is_empty() => {
                    let (id, attempt) = running.swap_remove(random.random_range(0..running.len()));
                    let stage = match random.random_range(0..3) {
                        0 => RunStage::Unclear,
                        1 => kept(id.as_u128() as u32, random.random_range(1..50)),
                        _ => {
                            naive.remove(&id);
                            leader.withdraw(id, attempt);
                            if random.random_bool(0.7) {
                                standby.withdraw(id, attempt);
                            }
                            continue;
                        }
                    };
                    leader.finish(id, attempt, stage);
                    if let Some(entry) = leader.get(id)
                        && random.random_bool(0.7)
                    {
                        standby.merge(id, entry.clone());
                    }
                }
                80..83 => {
                    standby.mark_running_unclear();
                    leader = standby.clone();
                    running.clear();
                    if random.random_bool(0.2) {
                        leader = DedupTable::new(bounds);
                        leader.raise_floor_past(now);
                    }
                    standby = leader.clone();
                }
                _ => {}
            }
            assert!(leader.len() <= bounds.entries && leader.recorded_bytes() <= bounds.bytes);
        }
    }
}

#[test]
fn the_memory_runs_every_new_id_while_nothing_is_forgotten() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut memory = DedupTable::<u32>::new(DedupLimits::default());
        let mut naive: HashMap<Uuid, ()> = HashMap::new();
        for step in 0..300 {
            let id = id(
                START_MS + random.random_range(0..100),
                random.random_range(0..100),
            );
            let runs = matches!(
                memory.begin(query(id, 1), START_MS + step),
                DedupStep::Run { .. }
            );
            assert_eq!(
                runs,
                naive.insert(id, ()).is_none(),
                "seed {seed}, step {step}"
            );
        }
    }
}
