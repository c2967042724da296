//! Waiting until a revision is in force everywhere.

use crate::{
    instance_client::{ask_all, text_at},
    prelude::*,
};

/// Pause between two rounds of questions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until every instance that is set has at least `revision` in force.
pub(crate) async fn wait(session: &CliSession<'_>, revision: u64) -> VerbReport {
    let clients = session.instances();
    let started = Instant::now();
    loop {
        let answers = ask_all(&clients, "/status").await;
        let behind: Vec<String> = clients
            .iter()
            .zip(answers)
            .filter_map(|(client, answer)| match answer {
                Ok(status) => lag(&status, revision),
                Err(fault) => Some(format!("{}: {fault}", client.address())),
            })
            .collect();
        let waited = started.elapsed();
        if behind.is_empty() {
            return in_force(clients.len(), revision, waited);
        }
        if waited >= session.settings.wait_timeout {
            return still_behind(&behind, revision);
        }
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}

/// How far an instance is behind `revision`, none when it is not.
fn lag(status: &Value, revision: u64) -> Option<String> {
    let has = status.pointer("/revision").and_then(Value::as_u64);
    let name = text_at(status, "/instance");
    match has {
        Some(has) if has >= revision => None,
        Some(has) => Some(format!("{name}: revision {has}")),
        None => Some(format!("{name}: no revision")),
    }
}

fn in_force(count: usize, revision: u64, waited: Duration) -> VerbReport {
    let text = format!("revision {revision} is in force on all {count} instances asked\n");
    let json = json!({ "behind": [], "waited_ms": waited.as_millis() as u64 });
    VerbReport::new(ExitStatus::Done, text, json)
}

fn still_behind(behind: &[String], revision: u64) -> VerbReport {
    let mut text = format!("revision {revision} is accepted; behind still:\n");
    for line in behind {
        text += &format!("  {line}\n");
    }
    VerbReport::new(ExitStatus::Behind, text, json!({ "behind": behind }))
}
