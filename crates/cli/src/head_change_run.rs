//! Changes of the head: planned, written and reported.

use crate::{local_time, prelude::*, wait_view};

/// Makes a change of the head, or says that it is already in force.
pub(crate) async fn change(
    session: &CliSession<'_>,
    change: &ConfigurationChange,
) -> Result<VerbReport, VerbReport> {
    let heads = session.heads()?;
    let found = find(&heads).await?;
    let plan = ConfigurationPlan::new(&found.head, change)
        .map_err(|faults| VerbReport::findings(&faults))?;
    let kept = undeclared_text(&plan);
    let undeclared = plan.undeclared.clone();
    let (revision, report) = if plan.is_empty() {
        let revision = plan.base_revision;
        let text = format!("already in force: revision {revision}, nothing written\n{kept}");
        let json = json!({ "revision": revision, "changed": false, "undeclared": undeclared });
        (revision, VerbReport::new(ExitStatus::Done, text, json))
    } else if let Some(lost) = lost_beforehand(session, &found.head) {
        return Err(lost);
    } else {
        let outcome = heads.write(&found, plan, &session.settings.operator).await;
        let entry = accepted(outcome)?;
        let text = format!("done: {}\n{}{kept}", who(&entry), wrapped(2, &entry.change));
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
        true => Ok(report.followed_by(wait_view::wait(session, revision).await)),
        false => Ok(report),
    }
}

/// A loss that shows before anything is written: the planned revision is no longer in force.
fn lost_beforehand(session: &CliSession, head: &ConfigurationHead) -> Option<VerbReport> {
    let planned = session
        .settings
        .revision
        .filter(|planned| *planned != head.revision)?;
    let winner = head
        .history
        .iter()
        .find(|entry| entry.revision == planned + 1);
    let Some(winner) = winner.or(head.history.last()) else {
        let message = format!("revision {planned} is not in force, but {}", head.revision);
        return Some(VerbReport::failure(ExitStatus::Refused, message));
    };
    Some(lost(winner))
}

fn accepted(outcome: ChangeOutcome) -> Result<AuditEntry, VerbReport> {
    match outcome {
        ChangeOutcome::Accepted(entry) => Ok(entry),
        ChangeOutcome::LostTo(winner) => Err(lost(&winner)),
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

fn lost(winner: &AuditEntry) -> VerbReport {
    let text = format!(
        "lost the race, nothing of this change took effect; the winner:\n{}\n{}",
        who(winner),
        wrapped(2, &winner.change)
    );
    VerbReport::new(
        ExitStatus::LostRace,
        text,
        json!({ "error": "lost", "winner": winner }),
    )
}

/// Who made a change, and when.
pub(crate) fn who(entry: &AuditEntry) -> String {
    format!(
        "revision {} by {} at {}",
        entry.revision,
        entry.changed_by,
        local_time::text_of(entry.changed_at_ms)
    )
}

/// Objects in force that a plan keeps though they are not declared.
pub(crate) fn undeclared_text(plan: &ConfigurationPlan) -> String {
    let line = |object: &String| {
        wrapped(
            2,
            &format!("not declared, kept: {object} (--prune removes it)"),
        )
    };
    plan.undeclared.iter().map(line).collect()
}

/// The head in force.
pub(crate) async fn find(heads: &HeadStore) -> Result<FoundHead, VerbReport> {
    heads.find().await.map_err(|error| unreachable(&error))
}

/// Report of a call to the store that failed without effect.
pub(crate) fn unreachable(error: &StoreError) -> VerbReport {
    VerbReport::failure(ExitStatus::Unreachable, format!("nothing changed: {error}"))
}
