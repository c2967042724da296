//! Execution of configuration changes: plan, write and report.

use crate::{local_time, prelude::*, wait_view};

/// Applies a change to the configuration in the store, unless it is already in force.
pub(crate) async fn execute_change(
    session: &CliSession<'_>,
    change: &ConfigurationChange,
) -> Result<VerbReport, VerbReport> {
    let store = session.configuration_store()?;
    let stored = read_head(&store).await?;
    let plan = ConfigurationPlan::new(&stored.head, change)
        .map_err(|findings| VerbReport::findings(&findings))?;
    let kept_text = undeclared_text(&plan);
    let undeclared = plan.undeclared.clone();
    let (revision, report) = if plan.is_empty() {
        let revision = plan.base_revision;
        let text = format!("already in force: revision {revision}, nothing written\n{kept_text}");
        let json = json!({ "revision": revision, "changed": false, "undeclared": undeclared });
        (revision, VerbReport::new(ExitStatus::Done, text, json))
    } else if let Some(report) = stale_revision_report(session, &stored.head) {
        return Err(report);
    } else {
        let outcome = store.write(&stored, plan, &session.settings.operator).await;
        let entry = accepted_entry(outcome)?;
        let text = format!(
            "done: {}\n{}{kept_text}",
            heading(&entry),
            wrapped(2, &entry.change)
        );
        let json = json!({
            "revision": entry.revision,
            "changed": true,
            "entry": entry,
            "undeclared": undeclared,
        });
        (
            entry.revision,
            VerbReport::new(ExitStatus::Done, text, json),
        )
    };
    match session.settings.wait {
        true => Ok(report.append(wait_view::wait(session, revision).await)),
        false => Ok(report),
    }
}

/// Report of a lost race if the revision given with `--revision` is no longer in force.
///
/// Detects the loss before anything is written.
fn stale_revision_report(session: &CliSession, head: &ConfigurationHead) -> Option<VerbReport> {
    let planned = session
        .settings
        .revision
        .filter(|planned| *planned != head.revision)?;
    let winner = head
        .history
        .iter()
        .find(|entry| entry.revision == planned + 1);
    let Some(winner) = winner.or(head.history.last()) else {
        let message = format!(
            "revision {planned} is not in force; the current revision is {}",
            head.revision
        );
        return Some(VerbReport::failure(ExitStatus::Refused, message));
    };
    Some(lost_race_report(winner))
}

/// Audit entry of an accepted change, or the report of any other outcome.
fn accepted_entry(outcome: ChangeOutcome) -> Result<AuditEntry, VerbReport> {
    match outcome {
        ChangeOutcome::Accepted(entry) => Ok(entry),
        ChangeOutcome::LostTo(winner) => Err(lost_race_report(&winner)),
        ChangeOutcome::Unclear { write_id, cause } => {
            let text = format!(
                "unclear whether the change was accepted: {cause}\n\
                 find out with: geraniummast history --write {write_id}\n"
            );
            let json = json!({ "error": "unclear", "cause": cause, "write_id": write_id });
            Err(VerbReport::new(ExitStatus::Unclear, text, json))
        }
        ChangeOutcome::Unreachable(cause) => Err(VerbReport::failure(
            ExitStatus::Unreachable,
            format!("nothing changed: {cause}"),
        )),
    }
}

fn lost_race_report(winner: &AuditEntry) -> VerbReport {
    let text = format!(
        "lost a race, this change did not take effect; the winning change:\n{}\n{}",
        heading(winner),
        wrapped(2, &winner.change)
    );
    VerbReport::new(
        ExitStatus::LostRace,
        text,
        json!({ "error": "lost", "winner": winner }),
    )
}

/// Heading of a change in the output: its revision, operator and time.
pub(crate) fn heading(entry: &AuditEntry) -> String {
    format!(
        "revision {} by {} at {}",
        entry.revision,
        entry.changed_by,
        local_time::text_of(entry.changed_at_ms)
    )
}

/// Lists the objects in force that a plan keeps although they are not declared.
pub(crate) fn undeclared_text(plan: &ConfigurationPlan) -> String {
    let line = |object: &String| {
        wrapped(
            2,
            &format!("not declared, kept: {object} (--prune removes it)"),
        )
    };
    plan.undeclared.iter().map(line).collect()
}

/// Reads the configuration in force, or returns the report of the failure.
pub(crate) async fn read_head(store: &ConfigurationStore) -> Result<StoredHead, VerbReport> {
    store
        .read_head()
        .await
        .map_err(|error| unreachable_report(&error))
}

/// Report of a store call that failed and did not take effect.
pub(crate) fn unreachable_report(error: &StoreError) -> VerbReport {
    VerbReport::failure(ExitStatus::Unreachable, format!("nothing changed: {error}"))
}
