//! Checks that servers have work again after they left orders unanswered.

use crate::prelude::*;

/// IDLE: a server that left orders unanswered for some time runs no request in the final window.
/// Returns all violations.
pub(crate) fn check(
    ledger: &SoakLedger,
    executions: &[ExecutionRecord],
    final_window_start: MonoTime,
) -> Vec<String> {
    let is_final = |started_at: MonoTime| started_at >= final_window_start;
    let busy: IndexSet<&ServerIncarnation> = executions
        .iter()
        .filter(|execution| execution.started_at.is_some_and(is_final))
        .map(|execution| &execution.server)
        .collect();
    let silenced = ledger.silenced_servers.lock().unwrap();
    let idle = silenced.iter().filter(|server| !busy.contains(server));
    idle.map(|server| {
        format!("IDLE: {server}, which answers orders again, runs no request after the faults")
    })
    .collect()
}
