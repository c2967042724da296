//! What each kind of server's answer means, whatever else it says.

use geraniummast_routing::{AnswerFacts, AnswerVerdict};
use quickcheck::{Gen, QuickCheck};

const SOUND: AnswerFacts = AnswerFacts {
    status: 200,
    is_signed: true,
    has_request_id: true,
    not_executed: false,
    is_encoded: false,
};

/// Seeds of the generated answers.
const CASES: u64 = 5_000;

#[test]
fn only_a_signed_plain_answer_to_the_request_itself_is_delivered() {
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
            AnswerVerdict::NotRun => facts.not_executed,
            AnswerVerdict::Misdirected => facts.status == 421,
            AnswerVerdict::Unverified => !facts.not_executed && facts.status != 421,
        }
    };
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(64, 1))
        .quickcheck(property as fn(u16, u8) -> bool);
}

#[test]
fn a_promise_that_the_server_did_not_make_is_not_passed_on() {
    for status in [408, 429, 503] {
        let facts = AnswerFacts { status, ..SOUND };
        assert_eq!(facts.verdict(), AnswerVerdict::Unverified);
        let said = AnswerFacts {
            not_executed: true,
            ..facts
        };
        assert_eq!(said.verdict(), AnswerVerdict::NotRun);
    }
}

#[test]
fn a_servers_own_error_counts_as_run() {
    for status in [500, 504] {
        let facts = AnswerFacts { status, ..SOUND };
        assert_eq!(facts.verdict(), AnswerVerdict::Failed);
    }
}
