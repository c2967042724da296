//! Checks that instances heed what servers say of themselves in their answers.

use crate::prelude::*;
use std::collections::HashMap;

/// What an answer of a server says of the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServerNotice {
    /// The server leaves.
    Leaving,
    /// The server wants no requests from the instance for this time.
    Rest(Duration),
}

/// Time after a rejection until which requests may still be on their way.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Time after the begin of a rest until which its server's keys have to be elsewhere.
const MOVE_TIME: Duration = Duration::from_secs(3);
/// Ratio of the requests with keys that must be served from then on.
const MIN_SERVED_RATIO: f64 = 0.9;
/// Requests that may reach a server later while it wants none.
const MAX_LATER_ARRIVALS: usize = 2;

/// One process of an instance, and a server.
type Pair = (usize, u64, ServerIncarnation);

/// DRAIN: a request that was sent later than `DRAIN_TIME` after its instance had passed on an
/// answer which says that the server leaves reaches that server. BUDGET: requests reach a server
/// that wants none from their instance. Returns all violations.
pub(crate) fn check(
    ledger: &SoakLedger,
    calls: &[CallRecord],
    executions: &[ExecutionRecord],
) -> Vec<String> {
    let calls: HashMap<&str, &CallRecord> =
        calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let mut pairs: IndexMap<Pair, Vec<(&CallRecord, &ExecutionRecord)>> = IndexMap::new();
    for execution in executions {
        let Some(call) = calls.get(execution.id.as_str()) else {
            continue;
        };
        let pair = (call.instance, call.start_count, execution.server.clone());
        pairs.entry(pair).or_default().push((call, execution));
    }
    let mut violations = Vec::new();
    for (pair, arrivals) in pairs {
        let late = arrivals_after_leaving(&arrivals);
        if late > 0 {
            violations.push(format!(
                "DRAIN: {late} requests reached {} from instance {}, which had passed on that it leaves",
                pair.2, pair.0
            ));
        }
        let unwanted = unwanted_arrivals(ledger, &arrivals);
        if unwanted > MAX_LATER_ARRIVALS {
            violations.push(format!(
                "BUDGET: {unwanted} requests reached {}, which wanted none, from instance {}",
                pair.2, pair.0
            ));
        }
    }
    violations.extend(unserved_keys(ledger, calls.values()));
    violations
}

/// RECOVER: requests with keys are not served though only one server of several wants none.
fn unserved_keys<'a>(
    ledger: &SoakLedger,
    calls: impl Iterator<Item = &'a &'a CallRecord>,
) -> Option<String> {
    let periods = ledger.rest_periods.lock().unwrap();
    let is_due = |call: &&&CallRecord| {
        let mut periods = periods.iter();
        let is_in_rest =
            periods.any(|(from, until)| (from.after(MOVE_TIME)..*until).contains(&call.sent_at));
        is_in_rest
            && call.kind.is_keyed()
            && call.is_first_attempt
            && call.outcome != CallOutcome::Abandoned
    };
    let due: Vec<_> = calls.filter(is_due).collect();
    let served = due.iter().filter(|call| call.is_served()).count();
    let is_low = (served as f64) < MIN_SERVED_RATIO * due.len() as f64;
    is_low.then(|| {
        let all = due.len();
        format!("RECOVER: {served} of {all} requests with keys served while a server wants none")
    })
}

fn arrivals_after_leaving(arrivals: &[(&CallRecord, &ExecutionRecord)]) -> usize {
    let passed_on = arrivals.iter().filter(|(call, execution)| {
        execution.notice == Some(ServerNotice::Leaving) && call.is_served()
    });
    let Some(told_at) = passed_on.map(|(call, _)| call.ended_at).min() else {
        return 0;
    };
    let bound = told_at.after(SoakPlan::DRAIN_TIME);
    let late = arrivals.iter().filter(|(call, _)| call.sent_at > bound);
    late.count()
}

/// Most arrivals in the time that one rejection names.
fn unwanted_arrivals(ledger: &SoakLedger, arrivals: &[(&CallRecord, &ExecutionRecord)]) -> usize {
    let rests = arrivals.iter().filter_map(|(_, execution)| {
        let Some(ServerNotice::Rest(rest)) = execution.notice else {
            return None;
        };
        let at = execution.ended_at?;
        Some((at.after(NOTICE_TIME), at.after(rest)))
    });
    let in_rest = |(from, until): (MonoTime, MonoTime)| {
        let unwanted = arrivals.iter().filter(|(call, execution)| {
            (from..until).contains(&execution.arrived_at)
                && ledger.is_undisturbed(call.instance, call.sent_at, execution.arrived_at)
        });
        unwanted.count()
    };
    rests.map(in_rest).max().unwrap_or_default()
}
