//! Classification of servers' answers.

use geraniummast_routing::{AnswerFacts, AnswerVerdict};
use quickcheck::{Gen, QuickCheck};

const VALID: AnswerFacts = AnswerFacts {
    status: 200,
    is_signed: true,
    has_request_id: true,
    not_executed: false,
    is_encoded: false,
};

/// Number of generated answers.
const CASES: u64 = 5_000;

#[test]
fn only_signed_plain_answer_with_request_id_is_delivered() {
    let property = |status: u16, bits: u8| {
        let facts = AnswerFacts {
            status: 200 + status % 400,
            is_signed: bits & 1 != 0,
            has_request_id: bits & 2 != 0,
            not_executed: bits & 4 != 0,
            is_encoded: bits & 8 != 0,
        };
        match facts.verdict() {
            AnswerVerdict::Deliver | AnswerVerdict::Failed => {
                facts.is_signed && facts.has_request_id && !facts.is_encoded && !facts.not_executed
            }
            AnswerVerdict::NotRun => facts.not_executed && facts.has_request_id,
            AnswerVerdict::Misdirected => facts.status == 421 && facts.has_request_id,
            AnswerVerdict::Unverified => {
                !facts.has_request_id || !facts.not_executed && facts.status != 421
            }
        }
    };
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(64, 1))
        .quickcheck(property as fn(u16, u8) -> bool);
}

#[test]
fn not_executed_status_without_statement_is_unverified() {
    for status in [408, 429, 503] {
        let facts = AnswerFacts { status, ..VALID };
        assert_eq!(facts.verdict(), AnswerVerdict::Unverified);
        let with_statement = AnswerFacts {
            not_executed: true,
            ..facts
        };
        assert_eq!(with_statement.verdict(), AnswerVerdict::NotRun);
    }
}

#[test]
fn server_error_counts_as_executed() {
    for status in [500, 504] {
        let facts = AnswerFacts { status, ..VALID };
        assert_eq!(facts.verdict(), AnswerVerdict::Failed);
    }
}

// Guards against a late second copy of an answer that says of another request that it has not run:
// this request would be sent again, or refused, though it may run.
#[test]
fn statement_about_another_request_is_unverified() {
    for (status, not_executed) in [(503, true), (429, true), (421, true), (421, false)] {
        let facts = AnswerFacts {
            status,
            not_executed,
            has_request_id: false,
            ..VALID
        };
        assert_eq!(facts.verdict(), AnswerVerdict::Unverified, "{status}");
    }
}

// Guards against an answer with a status such as 000 or 101 that goes to the caller, or that says of its
// request that it has not run.
#[test]
fn status_that_no_final_answer_has_is_unverified() {
    for status in (0..=199).chain(600..=u16::MAX) {
        for not_executed in [false, true] {
            let facts = AnswerFacts {
                status,
                not_executed,
                ..VALID
            };
            assert_eq!(facts.verdict(), AnswerVerdict::Unverified, "{status}");
        }
    }
    for status in [200, 599] {
        let facts = AnswerFacts { status, ..VALID };
        assert_ne!(facts.verdict(), AnswerVerdict::Unverified, "{status}");
    }
}
