//! The verb `drain`, for servers and instances.

use crate::{
    change_executor,
    instance_client::{CallError, query_all, text_at},
    prelude::*,
};

/// Drains the declared server `name` by a configuration change, or else the instance of that name.
pub(crate) async fn drain(session: &CliSession<'_>, name: &str) -> Result<VerbReport, VerbReport> {
    let server = ServerName::new(name);
    let head = change_executor::read_head(&session.configuration_store()?)
        .await?
        .head;
    let is_server = head.declarations().server(&server).is_some();
    match (is_server, session.settings.undo) {
        (true, false) => {
            change_executor::execute_change(session, &ConfigurationChange::Drain(server)).await
        }
        (true, true) => {
            change_executor::execute_change(session, &ConfigurationChange::Undrain(server)).await
        }
        (false, false) => drain_instance(session, name).await,
        (false, true) => Err(refused_report(
            "only the drain of a declared server can be undone; replace a drained instance",
        )),
    }
}

async fn drain_instance(session: &CliSession<'_>, name: &str) -> Result<VerbReport, VerbReport> {
    let clients = session.instances();
    let answers = query_all(&clients, "/status").await;
    let found = clients.iter().zip(&answers).find(|(_, answer)| {
        answer.as_ref().is_ok_and(|status| {
            let instance = text_at(status, "/instance");
            let short_name = instance
                .rsplit_once('#')
                .map(|(short_name, _)| short_name.to_string());
            instance == name || short_name.as_deref() == Some(name)
        })
    });
    let Some((client, _)) = found else {
        let message = format!(
            "`{name}` is neither a declared server nor one of the {} instances queried",
            clients.len()
        );
        return Err(refused_report(&message));
    };
    match client.post("/drain").await {
        Ok(_) => Ok(draining_report(name)),
        Err(CallError::Refused(status, reason)) => Err(refused_report(&format!(
            "instance {name} refused with {status} {reason}"
        ))),
        Err(CallError::NoResponse(cause)) => verify_drain(client, name, &cause).await,
    }
}

/// After a lost response, queries the instance's state to see whether it is draining.
async fn verify_drain(
    client: &InstanceClient,
    name: &str,
    cause: &str,
) -> Result<VerbReport, VerbReport> {
    let status = client.get("/status").await;
    let is_draining = |status: &Value| status.pointer("/draining") == Some(&Value::Bool(true));
    if status.as_ref().is_ok_and(is_draining) {
        return Ok(draining_report(name));
    }
    let message = format!(
        "unclear whether instance {name} is draining: {cause}\n\
         find out with: geraniummast status --instance {}",
        client.address()
    );
    Err(VerbReport::failure(ExitStatus::Unclear, message))
}

fn draining_report(name: &str) -> VerbReport {
    let text = format!("instance {name} is draining\n");
    VerbReport::new(ExitStatus::Done, text, json!({ "draining": name }))
}

fn refused_report(message: &str) -> VerbReport {
    VerbReport::failure(ExitStatus::Refused, format!("refused: {message}"))
}
