//! Verbs that check, read or change the configuration.

use crate::{
    change_executor::{execute_change, heading, read_head, undeclared_text, unreachable_report},
    move_preview,
    prelude::*,
};

/// Checks a directory of declarations.
pub(crate) fn check(directory: &Path) -> Result<VerbReport, VerbReport> {
    let set = read_directory(directory)?;
    let servers: usize = set
        .services
        .values()
        .map(|service| service.servers.len())
        .sum();
    let text = format!(
        "no findings: {} data centres, {} services, {servers} servers, {} presets,\n\
         {} of at most {} bytes\n",
        set.data_centres.len(),
        set.services.len(),
        set.presets.len(),
        set.stored_bytes(),
        ConfigurationPlan::MAX_DECLARED_BYTES
    );
    let json = json!({
        "findings": [],
        "places": set.data_centres.len(),
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
    let change = declare_change(session, directory)?;
    let store = session.configuration_store()?;
    let stored = read_head(&store).await?;
    let plan = ConfigurationPlan::new(&stored.head, &change)
        .map_err(|findings| VerbReport::findings(&findings))?;
    let parts = store
        .read_parts()
        .await
        .map_err(|error| unreachable_report(&error))?;
    let moves = move_preview::moves(&stored.head, plan.next(), &parts);
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

/// Applies a directory of declarations.
pub(crate) async fn apply(
    session: &CliSession<'_>,
    directory: &Path,
) -> Result<VerbReport, VerbReport> {
    let change = declare_change(session, directory)?;
    self::execute_change(session, &change).await
}

/// Activates a preset.
pub(crate) async fn preset_use(
    session: &CliSession<'_>,
    name: &str,
) -> Result<VerbReport, VerbReport> {
    execute_change(session, &ConfigurationChange::UsePreset(name.into())).await
}

/// Lists the declared presets.
pub(crate) async fn preset_list(session: &CliSession<'_>) -> Result<VerbReport, VerbReport> {
    let head = read_head(&session.configuration_store()?).await?.head;
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

/// Lists accepted changes, or reports the status of one write.
pub(crate) async fn history(session: &CliSession<'_>) -> Result<VerbReport, VerbReport> {
    let head = read_head(&session.configuration_store()?).await?.head;
    if let Some(write_id) = &session.settings.write_id {
        return Ok(write_report(&head, write_id));
    }
    let mut text = String::new();
    if head.history.is_empty() {
        text += "the history is empty\n";
    }
    for entry in head.history.iter().rev() {
        text += &format!("{}\n{}", heading(entry), wrapped(2, &entry.change));
    }
    let json = json!({ "revision": head.revision, "history": head.history });
    Ok(VerbReport::new(ExitStatus::Done, text, json))
}

/// Report on the status of the write `write_id`.
fn write_report(head: &ConfigurationHead, write_id: &str) -> VerbReport {
    let Some(base_revision) = ConfigurationStore::base_revision(write_id) else {
        let message = format!("`{write_id}` is not a write id");
        return VerbReport::failure(ExitStatus::Refused, message);
    };
    let (status, name, text) = match WriteStatus::of(head, write_id, base_revision) {
        WriteStatus::Accepted(entry) => (ExitStatus::Done, "accepted", heading(&entry)),
        WriteStatus::LostTo(entry) => (ExitStatus::Refused, "lost", heading(&entry)),
        WriteStatus::Pending => (
            ExitStatus::Unclear,
            "open",
            format!(
                "revision {} is still in force; the write may still arrive",
                head.revision
            ),
        ),
        WriteStatus::OutsideHistory => (
            ExitStatus::Unclear,
            "forgotten",
            "the history no longer covers the write".into(),
        ),
    };
    let json = json!({ "fate": name, "write_id": write_id, "revision": head.revision });
    VerbReport::new(status, format!("{name}: {text}\n"), json)
}

fn declare_change(
    session: &CliSession,
    directory: &Path,
) -> Result<ConfigurationChange, VerbReport> {
    Ok(ConfigurationChange::Declare {
        set: Box::new(read_directory(directory)?),
        prune: session.settings.prune,
        initial_preset: session.settings.preset.clone(),
    })
}

fn read_directory(directory: &Path) -> Result<DeclarationSet, VerbReport> {
    DeclarationDirectory::read(directory).map_err(|findings| VerbReport::findings(&findings))
}
