//! The verb `explain`: the owner of a key and the decisions about its part.

use crate::{
    instance_client::{CallError, query_all, rows_at, text_at},
    local_time,
    prelude::*,
};

/// Queries all instances about a key and shows the answer of the part's leader.
///
/// If the leader does not answer, shows the answer of another instance.
pub(crate) async fn explain(
    session: &CliSession<'_>,
    service: &str,
    key: &str,
) -> Result<VerbReport, VerbReport> {
    let clients = session.instances();
    let target = format!(
        "/explain?service={}&key={}",
        percent_encode(service),
        percent_encode(key)
    );
    let answers = query_all(&clients, &target).await;
    let known: Vec<&Value> = answers
        .iter()
        .filter_map(|answer| answer.as_ref().ok())
        .collect();
    let is_led_here = |value: &&&Value| value.pointer("/led_here") == Some(&Value::Bool(true));
    let Some(selected) = known.iter().find(is_led_here).or_else(|| known.first()) else {
        return Err(failure_report(&clients, &answers));
    };
    let mut text = String::new();
    let mut add_line = |name: &str, value: String| {
        let value = if value.is_empty() { "-".into() } else { value };
        text += &format!("{name:<12} {value}\n");
    };
    let at = |pointer: &str| text_at(selected, pointer);
    add_line("service", at("/service"));
    add_line("key hash", at("/key_hash"));
    add_line("part", at("/part"));
    add_line("term", at("/term"));
    add_line("edition", at("/edition"));
    add_line("leader", at("/leader"));
    let standbys = rows_at(selected, "/standbys")
        .iter()
        .map(|name| text_at(name, ""));
    add_line("standbys", standbys.collect::<Vec<_>>().join(", "));
    add_line(
        "slice",
        format!("{}..{}", at("/slice/start"), at("/slice/end")),
    );
    add_line("owner", at("/slice/owner"));
    add_line("fence", at("/slice/fence"));
    add_line("grant left", with_unit(at("/slice/grant_left_ms")));
    if selected.pointer("/led_here") != Some(&Value::Bool(true)) {
        text += "the leader was not queried or did not answer: its grants are not known\n";
    }
    for entry in rows_at(selected, "/decisions") {
        text += &decision_text(entry);
    }
    Ok(VerbReport::new(ExitStatus::Done, text, (*selected).clone()))
}

/// Formats one decision with its time, subject and reason.
fn decision_text(entry: &Value) -> String {
    let at_ms = entry.pointer("/at_ms").and_then(Value::as_u64);
    format!(
        "{}  {} {}\n  {}\n",
        at_ms.map_or("-".into(), local_time::text_of),
        text_at(entry, "/subject"),
        text_at(entry, "/decision"),
        text_at(entry, "/reason")
    )
}

fn with_unit(text: String) -> String {
    match text.is_empty() {
        true => text,
        false => text + " ms",
    }
}

/// Report of all errors, for the case that no instance gave an answer.
fn failure_report(clients: &[InstanceClient], answers: &[Result<Value, CallError>]) -> VerbReport {
    let mut text = String::new();
    let mut status = ExitStatus::Unreachable;
    for (client, answer) in clients.iter().zip(answers) {
        if let Err(error) = answer {
            text += &format!("{}: {error}\n", client.address());
        }
        if matches!(answer, Err(CallError::Refused(..))) {
            status = ExitStatus::Refused;
        }
    }
    VerbReport::failure(status, text.trim_end())
}

/// Percent-encodes everything but letters, digits and `-._~`.
fn percent_encode(text: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    text.bytes()
        .map(|byte| match is_unreserved(byte) {
            true => char::from(byte).to_string(),
            false => format!("%{byte:02X}"),
        })
        .collect()
}
