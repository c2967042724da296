use crate::prelude::*;

const LIMITS: BodyLimits = BodyLimits {
    stall_timeout: Duration::from_secs(10),
    min_bytes_per_s: 1_024,
};

fn at(seconds: u64) -> MonoTime {
    MonoTime(seconds * 1_000_000)
}

// Guards against a body stopped short whose connection and memory are held for as long as its
// caller likes.
#[test]
fn body_without_progress_is_given_up_after_the_stall_timeout() {
    let mut pace = BodyPace::new(LIMITS, at(0), at(600));
    assert_eq!(pace.next_limit(), (at(10), PaceLimit::Stalled));
    pace.record(8 << 20, at(7));
    assert_eq!(pace.next_limit(), (at(17), PaceLimit::Stalled));
}

// Guards against a caller that sends single bytes for ever, each just before the stall timeout.
#[test]
fn body_of_single_bytes_is_given_up_by_its_rate() {
    let mut pace = BodyPace::new(LIMITS, at(0), at(600));
    pace.record(1, at(9));
    let (limit, reason) = pace.next_limit();
    assert_eq!(reason, PaceLimit::TooSlow);
    assert!(limit >= at(10) && limit < at(11));
    pace.record(20 << 10, at(10));
    assert_eq!(pace.next_limit(), (at(20), PaceLimit::Stalled));
}

// Guards against a body that was sent fast at first and then in single bytes, which its mean rate
// would allow for hours: it ends with its request.
#[test]
fn body_ends_with_the_deadline_of_its_request() {
    let mut pace = BodyPace::new(LIMITS, at(0), at(30));
    pace.record(60 << 20, at(1));
    pace.record(1, at(25));
    assert_eq!(pace.next_limit(), (at(30), PaceLimit::DeadlinePassed));
}

// Guards against a setting of no least rate that aborts all bodies.
#[test]
fn no_least_rate_leaves_the_other_limits() {
    let limits = BodyLimits {
        min_bytes_per_s: 0,
        ..LIMITS
    };
    let mut pace = BodyPace::new(limits, at(0), at(600));
    pace.record(1, at(9));
    assert_eq!(pace.next_limit(), (at(19), PaceLimit::Stalled));
}
