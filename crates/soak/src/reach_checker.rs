//! Checks that callers of instances that are cut off from the servers are served like others.
//!
//! A cut instance serves through another one. Attempts made while there is none that reaches the
//! servers and neither stops nor is disturbed tell nothing of how it does that.

use crate::prelude::*;

/// Served share of first attempts at cut instances, relative to the others'. This is stricter than
/// the documented two thirds.
const MIN_RELATIVE_SHARE: f64 = 0.9;
/// First attempts that may fail at cut instances, of all first attempts.
const ALLOWED_FAILED_SHARE: f64 = 1.0 / 50.0;
/// First attempts that may fail besides.
const ALLOWED_FAILED: f64 = 10.0;

/// Time during which instances are cut off from all servers.
#[derive(Clone, Debug)]
pub(crate) struct CutPeriod {
    pub(crate) instances: Vec<usize>,
    pub(crate) from: MonoTime,
    pub(crate) until: MonoTime,
}

/// First attempts of callers and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptCount {
    sent: usize,
    served: usize,
}

impl AttemptCount {
    fn served_share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// RECOVER: from `SETTLE_TIME` after the start of a cut on, first attempts at the cut instances are
/// served too seldom. Returns all violations.
pub(crate) fn check(ledger: &SoakLedger, calls: &[CallRecord]) -> Vec<String> {
    let periods = ledger.cut_periods.lock().unwrap();
    periods
        .iter()
        .filter_map(|period| check_period(ledger, calls, period, &periods))
        .collect()
}

fn check_period(
    ledger: &SoakLedger,
    calls: &[CallRecord],
    period: &CutPeriod,
    all: &[CutPeriod],
) -> Option<String> {
    let from = period.from.after(SoakPlan::SETTLE_TIME);
    let mut at_cut = AttemptCount::default();
    let mut elsewhere = AttemptCount::default();
    let instances = calls.iter().map(|call| call.instance + 1).max();
    let has_helper = |call: &CallRecord| {
        (0..instances.unwrap_or_default()).any(|number| can_help(ledger, call, number, all))
    };
    let first_attempts = calls.iter().filter(|call| {
        call.is_first_attempt
            && call.sent_at >= from
            && call.ended_at <= period.until
            && call.outcome != CallOutcome::Abandoned
            && ledger.is_undisturbed(call.instance, call.sent_at, call.ended_at)
            && has_helper(call)
    });
    for call in first_attempts {
        let is_cut_elsewhere = all.iter().any(|other| {
            other.instances.contains(&call.instance)
                && (other.from..=other.until).contains(&call.sent_at)
        });
        let count = match (period.instances.contains(&call.instance), is_cut_elsewhere) {
            (true, _) => &mut at_cut,
            (false, true) => continue,
            (false, false) => &mut elsewhere,
        };
        count.sent += 1;
        count.served += usize::from(call.is_served());
    }
    let failed = (at_cut.sent - at_cut.served) as f64;
    let allowed = ALLOWED_FAILED + ALLOWED_FAILED_SHARE * (at_cut.sent + elsewhere.sent) as f64;
    let is_worse = at_cut.served_share() < MIN_RELATIVE_SHARE * elsewhere.served_share();
    (is_worse && failed > allowed).then(|| {
        format!(
            "RECOVER: instances {:?}, cut off from all servers, served {} of {} first attempts, the others {} of {}",
            period.instances, at_cut.served, at_cut.sent, elsewhere.served, elsewhere.sent
        )
    })
}

/// Whether instance `number` reached the servers during a call and from `SETTLE_TIME` before on,
/// and was neither disturbed nor affected by planned work.
fn can_help(ledger: &SoakLedger, call: &CallRecord, number: usize, cuts: &[CutPeriod]) -> bool {
    let (since, until) = (call.sent_at.before(SoakPlan::SETTLE_TIME), call.ended_at);
    let is_cut = cuts
        .iter()
        .any(|cut| cut.instances.contains(&number) && cut.from <= until && cut.until >= since);
    let planned = DisturbanceTarget::PlannedWork(number);
    !is_cut
        && ledger.is_undisturbed(number, call.sent_at, call.ended_at)
        && !ledger.was_disturbed(planned, since, until)
}
