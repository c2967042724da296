//! Checks that cold servers are sent no more requests than their bound allows.

use crate::prelude::*;

/// Time during which a server was cold after its start.
#[derive(Clone, Debug)]
pub(crate) struct ColdPeriod {
    pub(crate) server: ServerIncarnation,
    pub(crate) from: MonoTime,
    pub(crate) until: MonoTime,
}

/// COLD: a server gets more requests in one second, from all instances together, than the bound
/// allows while it is cold. Returns all violations.
pub(crate) fn check(ledger: &SoakLedger, executions: &[ExecutionRecord]) -> Vec<String> {
    let periods = ledger.cold_periods.lock().unwrap();
    periods
        .iter()
        .filter_map(|period| check_period(executions, period))
        .collect()
}

/// Returns the worst violation of one period.
fn check_period(executions: &[ExecutionRecord], period: &ColdPeriod) -> Option<String> {
    const WINDOW: Duration = Duration::from_secs(1);
    let at_server = executions.iter().filter(|execution| {
        execution.server == period.server
            && (period.from..period.until).contains(&execution.arrived_at)
    });
    let mut times: Vec<MonoTime> = at_server.map(|execution| execution.arrived_at).collect();
    times.sort_unstable();
    let in_window = |(position, at): (usize, &MonoTime)| {
        position + 1 - times.partition_point(|earlier| earlier.after(WINDOW) < *at)
    };
    let most = times.iter().enumerate().map(in_window).max()?;
    let allowed = SoakPlan::WARMUP_BOUND.requests(SoakPlan::COLD_RATE);
    let server = &period.server;
    (most as f64 > allowed).then(|| {
        format!("COLD: {server} got {most} requests in 1 s while it was cold, {allowed} allowed")
    })
}
