//! Tests of the replication of dedup entries and their collection by a new leader.

use super::*;

const NOW_MS: u64 = 1_700_000_000_000;

fn part() -> PartId {
    PartId::new(ServiceName::new("filing"), 0)
}

fn authority(term: u64) -> FenceToken {
    FenceToken {
        term,
        rank: 0,
        edition: 0,
    }
}

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name, 1)
}

fn query() -> DedupQuery {
    DedupQuery {
        id: Uuid::from_u128(u128::from(NOW_MS) << 80 | 0x7 << 76 | 0x8000_0000_0000_0000),
        digest: 7,
        is_first_attempt: false,
    }
}

fn leader(term: u64) -> DedupRegistry {
    let registry = DedupRegistry::default();
    registry.take_over(&part(), authority(term), true, NOW_MS);
    registry
}

fn begin(registry: &DedupRegistry, term: u64) -> Result<DedupStep<CallerAnswer>, &'static str> {
    match registry.begin(&part(), authority(term), query(), NOW_MS) {
        DedupLookup::Decided(step) => Ok(step),
        DedupLookup::NotCollected => Err("not collected"),
        DedupLookup::Deposed => Err("deposed"),
    }
}

fn update(registry: &DedupRegistry, term: u64) -> DedupUpdateWire {
    let change = registry.current_change(&part(), query().id).unwrap();
    registry.update_wire(&part(), authority(term), &[change])
}

fn pull(from: &DedupRegistry, to: &DedupRegistry, term: u64) {
    to.raise_fence(&part(), authority(term));
    let page = from.serve_pull(&DedupPullWire {
        part: part().to_string(),
        term,
        rank: 0,
        after: Vec::new(),
    });
    to.merge_page(&part(), page.unwrap()).unwrap();
    to.take_over(&part(), authority(term), true, NOW_MS);
}

fn outcome(step: Result<DedupStep<CallerAnswer>, &str>) -> Option<RunOutcome> {
    match step {
        Ok(DedupStep::Refuse(notice)) => Some(notice.outcome),
        _ => None,
    }
}

#[test]
fn new_leader_refuses_replicated_request_and_runs_unknown_one() {
    for replicated in [true, false] {
        let (former, standby, successor) = (
            leader(1),
            DedupRegistry::default(),
            DedupRegistry::default(),
        );
        assert!(matches!(begin(&former, 1), Ok(DedupStep::Run { .. })));
        if replicated {
            assert!(standby.accept(update(&former, 1)).unwrap());
        }
        assert_eq!(begin(&successor, 2), Err("not collected"));
        pull(&standby, &successor, 2);
        match replicated {
            true => assert_eq!(outcome(begin(&successor, 2)), Some(RunOutcome::Unknown)),
            false => assert!(matches!(begin(&successor, 2), Ok(DedupStep::Run { .. }))),
        }
        assert!(
            !standby.accept(update(&former, 1)).unwrap(),
            "a late update of the former leader is refused"
        );
    }
}

#[test]
fn late_outcome_of_former_leader_answers_repeated_request() {
    let (former, successor) = (leader(1), DedupRegistry::default());
    let Ok(DedupStep::Run { attempt }) = begin(&former, 1) else {
        panic!("a first request runs");
    };
    pull(&former, &successor, 2);
    assert_eq!(begin(&former, 1), Err("deposed"));
    assert_eq!(outcome(begin(&successor, 2)), Some(RunOutcome::Unknown));
    let answer = CallerAnswer::Complete {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"filed"),
    };
    let recorded = RecordedAnswer {
        bytes: answer.size_bytes(),
        answer: answer.clone(),
    };
    let ran = Some(RunStage::Ran(Some(recorded)));
    former.finish(&part(), query().id, attempt, ran);
    assert!(!successor.accept(update(&former, 1)).unwrap());
    assert_eq!(begin(&successor, 2), Ok(DedupStep::Answer(answer)));
}

#[test]
fn incomplete_table_refuses_earlier_request_id() {
    let successor = DedupRegistry::default();
    successor.take_over(&part(), authority(2), false, NOW_MS);
    assert_eq!(outcome(begin(&successor, 2)), Some(RunOutcome::Unknown));
}

#[test]
fn collection_is_complete_with_former_leader_or_all_its_standbys() {
    let record = PartRecord {
        id: part(),
        term: 1,
        edition: 1,
        leader: instance("a"),
        standbys: vec![instance("b"), instance("c")],
        slices: Vec::new(),
        former_members: Vec::new(),
        moving: Vec::new(),
        end: u64::MAX,
        write_id: "write".into(),
    };
    let member = |name: &str, authorities| MemberAuthorities {
        id: instance(name),
        authorities,
    };
    let full_copy = ReplicaAuthorities {
        full_copy: Some(authority(1)),
        updated: Some(authority(1)),
        led: None,
    };
    let updated = ReplicaAuthorities {
        full_copy: None,
        ..full_copy
    };
    let led = ReplicaAuthorities {
        led: Some(authority(1)),
        ..ReplicaAuthorities::default()
    };
    let none = ReplicaAuthorities::default();
    for (responses, complete) in [
        (vec![member("b", full_copy), member("c", full_copy)], true),
        (vec![member("b", none), member("a", led)], true),
        (vec![member("b", full_copy)], false),
        (vec![member("b", full_copy), member("c", updated)], false),
        (vec![member("b", full_copy), member("d", full_copy)], false),
        (vec![], false),
    ] {
        assert_eq!(is_complete(&record, &responses), complete);
    }
    let later_authority = FenceToken {
        rank: 1,
        ..authority(1)
    };
    let later = ReplicaAuthorities {
        updated: Some(later_authority),
        ..full_copy
    };
    let responses = [member("b", full_copy), member("c", later)];
    assert!(
        !is_complete(&record, &responses),
        "a leader of a later rank sent further updates"
    );
}
