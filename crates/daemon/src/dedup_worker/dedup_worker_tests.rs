//! What a successor knows of the requests of a lost leader.

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
    let book = DedupRegistry::default();
    book.take_over(&part(), authority(term), true, NOW_MS);
    book
}

fn begin(book: &DedupRegistry, term: u64) -> Result<DedupStep<CallerAnswer>, &'static str> {
    match book.begin(&part(), authority(term), query(), NOW_MS) {
        DedupLookup::Decided(step) => Ok(step),
        DedupLookup::Collect => Err("collect"),
        DedupLookup::Deposed => Err("deposed"),
    }
}

fn note(book: &DedupRegistry, term: u64) -> DedupUpdateWire {
    let change = book.change_of(&part(), query().id).unwrap();
    book.wire(&part(), authority(term), &[change])
}

fn pull(from: &DedupRegistry, to: &DedupRegistry, term: u64) {
    to.fence(&part(), authority(term));
    let page = from.serve_pull(&DedupPullWire {
        part: part().to_string(),
        term,
        rank: 0,
        after: Vec::new(),
    });
    to.learn(&part(), page.unwrap()).unwrap();
    to.take_over(&part(), authority(term), true, NOW_MS);
}

fn outcome(step: Result<DedupStep<CallerAnswer>, &str>) -> Option<RunOutcome> {
    match step {
        Ok(DedupStep::Refuse(notice)) => Some(notice.outcome),
        _ => None,
    }
}

#[test]
fn a_noted_request_never_runs_at_the_successor_and_one_not_noted_does() {
    for noted in [true, false] {
        let (lost, standby, successor) = (
            leader(1),
            DedupRegistry::default(),
            DedupRegistry::default(),
        );
        assert!(matches!(begin(&lost, 1), Ok(DedupStep::Run { .. })));
        if noted {
            assert!(standby.accept(note(&lost, 1)).unwrap());
        }
        assert_eq!(begin(&successor, 2), Err("collect"));
        pull(&standby, &successor, 2);
        match noted {
            true => assert_eq!(outcome(begin(&successor, 2)), Some(RunOutcome::Unknown)),
            false => assert!(matches!(begin(&successor, 2), Ok(DedupStep::Run { .. }))),
        }
        assert!(
            !standby.accept(note(&lost, 1)).unwrap(),
            "a late note is refused"
        );
    }
}

#[test]
fn an_end_that_a_former_leader_tells_late_reaches_the_repeat() {
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
    let kept = RecordedAnswer {
        bytes: answer.size_bytes(),
        answer: answer.clone(),
    };
    let ran = Some(RunStage::Ran(Some(kept)));
    former.end(&part(), query().id, attempt, ran);
    assert!(!successor.accept(note(&former, 1)).unwrap());
    assert_eq!(begin(&successor, 2), Ok(DedupStep::Answer(answer)));
}

#[test]
fn an_incomplete_memory_runs_no_id_made_before() {
    let successor = DedupRegistry::default();
    successor.take_over(&part(), authority(2), false, NOW_MS);
    assert_eq!(outcome(begin(&successor, 2)), Some(RunOutcome::Unknown));
}

#[test]
fn a_memory_is_complete_by_the_former_leader_or_by_all_its_standbys() {
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
    let member = |name: &str, marks| MemberMarks {
        id: instance(name),
        marks,
    };
    let whole = ReplicaAuthorities {
        whole: Some(authority(1)),
        noted: Some(authority(1)),
        led: None,
    };
    let noted = ReplicaAuthorities {
        whole: None,
        ..whole
    };
    let led = ReplicaAuthorities {
        led: Some(authority(1)),
        ..ReplicaAuthorities::default()
    };
    let none = ReplicaAuthorities::default();
    for (heard, complete) in [
        (vec![member("b", whole), member("c", whole)], true),
        (vec![member("b", none), member("a", led)], true),
        (vec![member("b", whole)], false),
        (vec![member("b", whole), member("c", noted)], false),
        (vec![member("b", whole), member("d", whole)], false),
        (vec![], false),
    ] {
        assert_eq!(is_complete(&record, &heard), complete);
    }
    let acted = FenceToken {
        rank: 1,
        ..authority(1)
    };
    let later = ReplicaAuthorities {
        noted: Some(acted),
        ..whole
    };
    let heard = [member("b", whole), member("c", later)];
    assert!(!is_complete(&record, &heard), "a later holder noted more");
}
