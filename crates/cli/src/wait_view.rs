//! Waiting until a revision is in force on all instances.

use crate::{
    instance_client::{query_all, text_at},
    prelude::*,
};

/// Interval between queries to the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until every instance in the settings has at least `revision` in force.
pub(crate) async fn wait(session: &CliSession<'_>, revision: u64) -> VerbReport {
    let clients = session.instances();
    let started = Instant::now();
    loop {
        let answers = query_all(&clients, "/status").await;
        let behind: Vec<String> = clients
            .iter()
            .zip(answers)
            .filter_map(|(client, answer)| match answer {
                Ok(status) => lag_text(&status, revision),
                Err(error) => Some(format!("{}: {error}", client.address())),
            })
            .collect();
        let waited = started.elapsed();
        if behind.is_empty() {
            return in_force_report(clients.len(), revision, waited);
        }
        if waited >= session.settings.wait_timeout {
            return behind_report(&behind, revision);
        }
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}

/// Describes an instance that is behind `revision`; `None` if it is not behind.
fn lag_text(status: &Value, revision: u64) -> Option<String> {
    let revision_in_force = status.pointer("/revision").and_then(Value::as_u64);
    let name = text_at(status, "/instance");
    match revision_in_force {
        Some(current) if current >= revision => None,
        Some(current) => Some(format!("{name}: revision {current}")),
        None => Some(format!("{name}: no revision")),
    }
}

fn in_force_report(count: usize, revision: u64, waited: Duration) -> VerbReport {
    let text = format!("revision {revision} is in force on all {count} instances queried\n");
    let json = json!({ "behind": [], "waited_ms": waited.as_millis() as u64 });
    VerbReport::new(ExitStatus::Done, text, json)
}

fn behind_report(behind: &[String], revision: u64) -> VerbReport {
    let mut text = format!("revision {revision} is accepted; instances still behind:\n");
    for line in behind {
        text += &format!("  {line}\n");
    }
    VerbReport::new(ExitStatus::Behind, text, json!({ "behind": behind }))
}
