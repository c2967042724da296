//! Drains of servers and of instances.

use crate::{
    head_change_run,
    instance_client::{CallFault, ask_all, text_at},
    prelude::*,
};

/// Drains a declared server through the head, else the instance of that name.
pub(crate) async fn drain(session: &CliSession<'_>, name: &str) -> Result<VerbReport, VerbReport> {
    let server = ServerName::new(name);
    let head = head_change_run::find(&session.heads()?).await?.head;
    let is_server = head.declarations().server(&server).is_some();
    match (is_server, session.settings.undo) {
        (true, false) => {
            head_change_run::change(session, &ConfigurationChange::Drain(server)).await
        }
        (true, true) => {
            head_change_run::change(session, &ConfigurationChange::Undrain(server)).await
        }
        (false, false) => drain_instance(session, name).await,
        (false, true) => Err(refused(
            "only a declared server's drain can be undone; a drained instance is replaced",
        )),
    }
}

async fn drain_instance(session: &CliSession<'_>, name: &str) -> Result<VerbReport, VerbReport> {
    let clients = session.instances();
    let answers = ask_all(&clients, "/status").await;
    let found = clients.iter().zip(&answers).find(|(_, answer)| {
        answer.as_ref().is_ok_and(|status| {
            let instance = text_at(status, "/instance");
            let short = instance
                .rsplit_once('#')
                .map(|(short, _)| short.to_string());
            instance == name || short.as_deref() == Some(name)
        })
    });
    let Some((client, _)) = found else {
        let message = format!(
            "`{name}` is neither a declared server nor one of the {} instances asked",
            clients.len()
        );
        return Err(refused(&message));
    };
    match client.post("/drain").await {
        Ok(_) => Ok(drained(name)),
        Err(CallFault::Refused(status, reason)) => Err(refused(&format!(
            "instance {name} refused with {status} {reason}"
        ))),
        Err(CallFault::Silent(cause)) => look_again(client, name, &cause).await,
    }
}

/// After a lost answer: the instance's state says whether the drain has begun.
async fn look_again(
    client: &InstanceClient,
    name: &str,
    cause: &str,
) -> Result<VerbReport, VerbReport> {
    let status = client.get("/status").await;
    let draining = |status: &Value| status.pointer("/draining") == Some(&Value::Bool(true));
    if status.as_ref().is_ok_and(draining) {
        return Ok(drained(name));
    }
    let message = format!(
        "unclear whether instance {name} drains: {cause}\n\
         find out with: geraniummast status --instance {}",
        client.address()
    );
    Err(VerbReport::failure(ExitStatus::Unclear, message))
}

fn drained(name: &str) -> VerbReport {
    let text = format!("instance {name} is draining\n");
    VerbReport::new(ExitStatus::Done, text, json!({ "draining": name }))
}

fn refused(message: &str) -> VerbReport {
    VerbReport::failure(ExitStatus::Refused, format!("refused: {message}"))
}
