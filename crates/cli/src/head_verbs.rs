//! Verbs that read or change the head.

use crate::{local_time, move_preview, prelude::*, wait_view};

/// Checks a directory.
pub(crate) fn check(directory: &Path) -> Result<VerbReport, VerbReport> {
    let set = read(directory)?;
    let servers: usize = set
        .services
        .values()
        .map(|service| service.servers.len())
        .sum();
    let text = format!(
        "no findings: {} places, {} services, {servers} servers, {} presets,\n\
         {} of at most {} bytes\n",
        set.places.len(),
        set.services.len(),
        set.presets.len(),
        set.stored_bytes(),
        HeadPlan::MAX_DECLARED_BYTES
    );
    let json = json!({
        "findings": [],
        "places": set.places.len(),
        "services": set.services.len(),
        "servers": servers,
        "presets": set.presets.len(),
        "bytes": set.stored_bytes(),
    });
    Ok(VerbReport::new(ExitStatus::Done, text, json))
}

/// Shows what applying a directory would do.
pub(crate) async fn plan(
    session: &CliSession<'_>,
    directory: &Path,
) -> Result<VerbReport, VerbReport> {
    let change = declared(session, directory)?;
    let heads = session.heads()?;
    let found = find(&heads).await?;
    let plan =
        HeadPlan::new(&found.head, &change).map_err(|faults| VerbReport::findings(&faults))?;
    let parts = heads.parts().await.map_err(|error| unreachable(&error))?;
    let moves = move_preview::moves(&found.head, plan.next(), &parts);
    let mut text = format!("on top of revision {}:\n", plan.base_revision);
    if plan.is_empty() {
        text += "  no difference\n";
    }
    for difference in &plan.differences {
        text += &wrapped(2, &difference.to_string());
    }
    text += &undeclared_text(&plan);
    for preview in &moves {
        text += &wrapped(2, &preview.to_string());
    }
    let json = json!({
        "revision": plan.base_revision,
        "differences": plan.differences,
        "undeclared": plan.undeclared,
        "moves": moves,
    });
    Ok(VerbReport::new(ExitStatus::Done, text, json))
}

/// Puts a directory in force.
pub(crate) async fn apply(
    session: &CliSession<'_>,
    directory: &Path,
) -> Result<VerbReport, VerbReport> {
    let change = declared(session, directory)?;
    self::change(session, &change).await
}

/// Puts a preset in force.
pub(crate) async fn preset_use(
    session: &CliSession<'_>,
    name: &str,
) -> Result<VerbReport, VerbReport> {
    change(session, &HeadChange::Preset(name.into())).await
}

/// Lists presets.
pub(crate) async fn preset_list(session: &CliSession<'_>) -> Result<VerbReport, VerbReport> {
    let head = find(&session.heads()?).await?.head;
    let mut table = TextTable::new(&["PRESET", "IN FORCE", "DRAINED", "REFUSED CLASSES", "SLOTS"]);
    for (name, preset) in &head.presets {
        let in_force = if *name == head.preset { "yes" } else { "" };
        table.row(&[
            name.clone(),
            in_force.into(),
            preset.drained_servers.len().to_string(),
            preset.refused_classes.join(","),
            format!("{}%", preset.slot_percent.unwrap_or(100)),
        ]);
    }
    let json = json!({
        "revision": head.revision,
        "in_force": head.preset,
        "presets": head.presets,
    });
    Ok(VerbReport::new(ExitStatus::Done, table.text(), json))
}

/// Lists accepted changes, or tells the fate of one write.
pub(crate) async fn history(session: &CliSession<'_>) -> Result<VerbReport, VerbReport> {
    let head = find(&session.heads()?).await?.head;
    if let Some(write_id) = &session.settings.write_id {
        return Ok(fate(&head, write_id));
    }
    let mut text = String::new();
    if head.history.is_empty() {
        text += "no change is remembered\n";
    }
    for entry in head.history.iter().rev() {
        text += &format!("{}\n{}", who(entry), wrapped(2, &entry.change));
    }
    let json = json!({ "revision": head.revision, "history": head.history });
    Ok(VerbReport::new(ExitStatus::Done, text, json))
}

/// Makes a change of the head, or says that it is already in force.
pub(crate) async fn change(
    session: &CliSession<'_>,
    change: &HeadChange,
) -> Result<VerbReport, VerbReport> {
    let heads = session.heads()?;
    let found = find(&heads).await?;
    let plan =
        HeadPlan::new(&found.head, change).map_err(|faults| VerbReport::findings(&faults))?;
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
fn lost_beforehand(session: &CliSession, head: &HeadRecord) -> Option<VerbReport> {
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

fn fate(head: &HeadRecord, write_id: &str) -> VerbReport {
    let Some(base) = HeadStore::base_of(write_id) else {
        let message = format!("`{write_id}` is not the id of a write");
        return VerbReport::failure(ExitStatus::Refused, message);
    };
    let (status, name, text) = match WriteFate::of(head, write_id, base) {
        WriteFate::Accepted(entry) => (ExitStatus::Done, "accepted", who(&entry)),
        WriteFate::LostTo(entry) => (ExitStatus::Refused, "lost", who(&entry)),
        WriteFate::Open => (
            ExitStatus::Unclear,
            "open",
            format!(
                "revision {} is still in force, it may yet arrive",
                head.revision
            ),
        ),
        WriteFate::Forgotten => (
            ExitStatus::Unclear,
            "forgotten",
            "the history no longer reaches it".into(),
        ),
    };
    let json = json!({ "fate": name, "write_id": write_id, "revision": head.revision });
    VerbReport::new(status, format!("{name}: {text}\n"), json)
}

fn who(entry: &AuditEntry) -> String {
    format!(
        "revision {} by {} at {}",
        entry.revision,
        entry.changed_by,
        local_time::text_of(entry.changed_at_ms)
    )
}

fn undeclared_text(plan: &HeadPlan) -> String {
    let line = |object: &String| {
        wrapped(
            2,
            &format!("not declared, kept: {object} (--prune removes it)"),
        )
    };
    plan.undeclared.iter().map(line).collect()
}

fn declared(session: &CliSession, directory: &Path) -> Result<HeadChange, VerbReport> {
    Ok(HeadChange::Declare {
        set: Box::new(read(directory)?),
        prune: session.settings.prune,
        first_preset: session.settings.preset.clone(),
    })
}

fn read(directory: &Path) -> Result<DeclarationSet, VerbReport> {
    DeclarationFolder::read(directory).map_err(|findings| VerbReport::findings(&findings))
}

/// The head in force.
pub(crate) async fn find(heads: &HeadStore) -> Result<FoundHead, VerbReport> {
    heads.find().await.map_err(|error| unreachable(&error))
}

fn unreachable(error: &StoreError) -> VerbReport {
    VerbReport::failure(ExitStatus::Unreachable, format!("nothing changed: {error}"))
}
