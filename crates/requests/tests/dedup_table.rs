//! Deduplication of requests, partly compared with a model that keeps every id.

use {
    geraniummast_requests::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::HashMap, time::Duration},
    uuid::Uuid,
};

const START_MS: u64 = 1_700_000_000_000;

fn id(created_at_ms: u64, tail: u32) -> Uuid {
    Uuid::from_u128(
        u128::from(created_at_ms) << 80 | 0x7 << 76 | 0x8000_0000_0000_0000 | u128::from(tail),
    )
}

fn query(id: Uuid, digest: u128) -> DedupQuery {
    DedupQuery {
        id,
        digest,
        is_first_attempt: false,
    }
}

fn ran_with_answer(answer: u32, bytes: usize) -> RunStage<u32> {
    RunStage::Ran(Some(RecordedAnswer { answer, bytes }))
}

fn attempt_of(step: &DedupStep<u32>) -> u64 {
    match step {
        DedupStep::Run { attempt } => *attempt,
        other => panic!("expected a run, got {other:?}"),
    }
}

fn refusal_of(step: DedupStep<u32>) -> RefusalNotice {
    match step {
        DedupStep::Refuse(notice) => notice,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn repeat_is_refused_while_running_then_gets_recorded_answer() {
    let mut table = DedupTable::new(DedupLimits::default());
    let id = id(START_MS, 1);
    let attempt = attempt_of(&table.begin(query(id, 5), START_MS));
    let notice = refusal_of(table.begin(query(id, 5), START_MS));
    assert_eq!(notice.reason, RefusalReason::InProgress);
    assert!(notice.retry_after.is_some());
    table.finish(id, attempt, ran_with_answer(42, 10));
    assert_eq!(table.begin(query(id, 5), START_MS), DedupStep::Answer(42));
    let notice = refusal_of(table.begin(query(id, 6), START_MS));
    assert_eq!(notice.reason, RefusalReason::IdReused);
    assert_eq!(notice.outcome, RunOutcome::NotRun);
}

#[test]
fn ids_outside_accepted_time_range_are_refused() {
    let mut table = DedupTable::<u32>::new(DedupLimits::default());
    let too_old = refusal_of(table.begin(query(id(START_MS - 600_001, 1), 0), START_MS));
    assert_eq!(
        too_old,
        RefusalNotice::may_have_run(RefusalReason::OutcomeForgotten)
    );
    let too_new = refusal_of(table.begin(query(id(START_MS + 2_001, 1), 0), START_MS));
    assert_eq!(too_new, RefusalNotice::not_run(RefusalReason::BadRequest));
    let other_version = Uuid::from_u128(7);
    let other_version = refusal_of(table.begin(query(other_version, 0), START_MS));
    assert_eq!(
        other_version,
        RefusalNotice::not_run(RefusalReason::BadRequest)
    );
}

#[test]
fn late_withdrawal_keeps_later_attempt() {
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

/// Random histories of a leader and a standby that replaces it.
///
/// The standby receives each entry before its request runs, but may miss how the attempt ended.
#[test]
fn random_history_with_failovers_runs_no_id_twice() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let limits = DedupLimits {
            retention: Duration::from_millis(500),
            max_clock_skew: Duration::from_millis(20),
            max_entries: random.random_range(4..40),
            max_recorded_bytes: 60,
            max_answer_bytes: 30,
        };
        let mut leader = DedupTable::<u32>::new(limits);
        let mut standby = leader.clone();
        let mut runs_by_id: HashMap<Uuid, u32> = HashMap::new();
        let mut running: Vec<(Uuid, u64)> = Vec::new();
        let mut ids: Vec<Uuid> = Vec::new();
        let mut now = START_MS;
        for step in 0..400_u32 {
            now += random.random_range(0..8);
            match random.random_range(0..100) {
                0..50 => {
                    if ids.is_empty() || random.random_bool(0.5) {
                        let created_at_ms = now + random.random_range(0..20) - 10;
                        ids.push(id(created_at_ms, step));
                    }
                    let id = ids[random.random_range(0..ids.len())];
                    match leader.begin(query(id, id.as_u128()), now) {
                        DedupStep::Run { attempt } => {
                            let runs = runs_by_id.entry(id).or_default();
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
                            let ran = runs_by_id.contains_key(&id);
                            assert!(!ran || notice.outcome != RunOutcome::NotRun, "seed {seed}");
                        }
                    }
                }
                50..80 if !running.is_empty() => {
                    let (id, attempt) = running.swap_remove(random.random_range(0..running.len()));
                    let stage = match random.random_range(0..3) {
                        0 => RunStage::Unclear,
                        1 => ran_with_answer(id.as_u128() as u32, random.random_range(1..50)),
                        _ => {
                            runs_by_id.remove(&id);
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
                        leader = DedupTable::new(limits);
                        leader.raise_floor_past(now);
                    }
                    standby = leader.clone();
                }
                _ => {}
            }
            assert!(
                leader.len() <= limits.max_entries
                    && leader.recorded_bytes() <= limits.max_recorded_bytes
            );
        }
    }
}

#[test]
fn random_ids_within_limits_run_exactly_when_new() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut table = DedupTable::<u32>::new(DedupLimits::default());
        let mut seen: HashMap<Uuid, ()> = HashMap::new();
        for step in 0..300 {
            let id = id(
                START_MS + random.random_range(0..100),
                random.random_range(0..100),
            );
            let runs = matches!(
                table.begin(query(id, 1), START_MS + step),
                DedupStep::Run { .. }
            );
            assert_eq!(
                runs,
                seen.insert(id, ()).is_none(),
                "seed {seed}, step {step}"
            );
        }
    }
}
