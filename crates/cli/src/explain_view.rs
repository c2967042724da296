//! Where a key is served and why.

use crate::{
    instance_client::{CallFault, ask_all, rows_at, text_at},
    local_time,
    prelude::*,
};

/// Asks all instances about a key and shows what its leader says.
pub(crate) async fn explain(
    session: &CliSession<'_>,
    service: &str,
    key: &str,
) -> Result<VerbReport, VerbReport> {
    let clients = session.instances();
    let target = format!("/explain?service={}&key={}", escape(service), escape(key));
    let answers = ask_all(&clients, &target).await;
    let known: Vec<&Value> = answers
        .iter()
        .filter_map(|answer| answer.as_ref().ok())
        .collect();
    let led = |value: &&&Value| value.pointer("/led_here") == Some(&Value::Bool(true));
    let Some(best) = known.iter().find(led).or_else(|| known.first()) else {
        return Err(no_answer(&clients, &answers));
    };
    let mut text = String::new();
    let mut line = |name: &str, value: String| {
        let value = if value.is_empty() { "-".into() } else { value };
        text += &format!("{name:<12} {value}\n");
    };
    let at = |pointer: &str| text_at(best, pointer);
    line("service", at("/service"));
    line("key hash", at("/key_hash"));
    line("part", at("/part"));
    line("term", at("/term"));
    line("edition", at("/edition"));
    line("leader", at("/leader"));
    let standbys = rows_at(best, "/standbys")
        .iter()
        .map(|name| text_at(name, ""));
    line("standbys", standbys.collect::<Vec<_>>().join(", "));
    line(
        "slice",
        format!("{}..{}", at("/slice/start"), at("/slice/end")),
    );
    line("owner", at("/slice/owner"));
    line("fence", at("/slice/fence"));
    line("grant left", with_unit(at("/slice/grant_left_ms")));
    if best.pointer("/led_here") != Some(&Value::Bool(true)) {
        text += "the leader was not asked or did not answer: its grants are not known\n";
    }
    for entry in rows_at(best, "/decisions") {
        text += &decision_line(entry);
    }
    Ok(VerbReport::new(ExitStatus::Done, text, (*best).clone()))
}

/// One decision on a line of its own.
fn decision_line(entry: &Value) -> String {
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

fn no_answer(clients: &[InstanceClient], answers: &[Result<Value, CallFault>]) -> VerbReport {
    let mut text = String::new();
    let mut status = ExitStatus::Unreachable;
    for (client, answer) in clients.iter().zip(answers) {
        if let Err(fault) = answer {
            text += &format!("{}: {fault}\n", client.address());
        }
        if matches!(answer, Err(CallFault::Refused(..))) {
            status = ExitStatus::Refused;
        }
    }
    VerbReport::failure(status, text.trim_end())
}

/// Percent-escapes everything but letters, digits and `-._~`.
fn escape(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    text.bytes()
        .map(|byte| match plain(byte) {
            true => char::from(byte).to_string(),
            false => format!("%{byte:02X}"),
        })
        .collect()
}
