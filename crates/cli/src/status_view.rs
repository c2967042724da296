//! The verbs `status` and `dump`: state of all instances, services and servers.

use crate::{
    instance_client::{CallError, query_all, rows_at, text_at},
    prelude::*,
};

/// Reports the complete state of each instance as JSON.
pub(crate) async fn dump(session: &CliSession<'_>) -> Result<VerbReport, VerbReport> {
    let clients = session.instances();
    let answers = query_all(&clients, "/dump").await;
    let json: Vec<Value> = clients
        .iter()
        .zip(&answers)
        .map(|(client, answer)| match answer {
            Ok(dump) => dump.clone(),
            Err(error) => error_json(client, error),
        })
        .collect();
    let json = Value::Array(json);
    let text = serde_json::to_string_pretty(&json).unwrap_or_default() + "\n";
    Ok(VerbReport::new(status_of(&answers), text, json))
}

/// Reports tables of instances, services and servers.
pub(crate) async fn status(session: &CliSession<'_>) -> Result<VerbReport, VerbReport> {
    let clients = session.instances();
    let answers = query_all(&clients, "/dump").await;
    let dumps: Vec<&Value> = answers
        .iter()
        .filter_map(|answer| answer.as_ref().ok())
        .collect();
    let parts = latest_parts(&dumps);
    let mut instances = TextTable::new(&[
        "INSTANCE",
        "DATA CENTRE",
        "REVISION",
        "PRESET",
        "STATE",
        "STORE",
    ]);
    let mut rows = Vec::new();
    for (client, answer) in clients.iter().zip(&answers) {
        match answer {
            Ok(dump) => {
                instances.row(&instance_cells(dump));
                rows.push(instance_json(dump));
            }
            Err(error) => {
                let address = client.address().to_string();
                let empty = String::new;
                instances.row(&[address, empty(), empty(), empty(), "silent".into(), empty()]);
                rows.push(error_json(client, error));
            }
        }
    }
    let services = service_rows(&parts);
    let servers = server_rows(&dumps, &parts);
    let mut text = instances.text();
    text += &format!("\n{}", service_table(&services));
    text += &format!("\n{}", server_table(&servers));
    let json = json!({ "instances": rows, "services": services, "servers": servers });
    Ok(VerbReport::new(status_of(&answers), text, json))
}

/// `Done` if every instance answered, `Unreachable` otherwise.
fn status_of(answers: &[Result<Value, CallError>]) -> ExitStatus {
    match answers.iter().all(Result::is_ok) {
        true => ExitStatus::Done,
        false => ExitStatus::Unreachable,
    }
}

fn error_json(client: &InstanceClient, error: &CallError) -> Value {
    json!({ "address": client.address(), "error": error.to_string() })
}

fn instance_cells(dump: &Value) -> [String; 6] {
    [
        text_at(dump, "/instance"),
        text_at(dump, "/data_centre"),
        text_at(dump, "/revision"),
        text_at(dump, "/preset"),
        state_of(dump).into(),
        text_at(dump, "/store/state"),
    ]
}

fn instance_json(dump: &Value) -> Value {
    let field = |name: &str| dump.get(name).cloned().unwrap_or_default();
    json!({
        "instance": field("instance"),
        "data_centre": field("data_centre"),
        "revision": field("revision"),
        "preset": field("preset"),
        "state": state_of(dump),
        "store": field("store"),
    })
}

fn state_of(dump: &Value) -> &'static str {
    let is_set = |name: &str| dump.get(name) == Some(&Value::Bool(true));
    match (is_set("draining"), is_set("ready")) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

/// Latest view of each part; for the same term, the leader's own view is preferred.
fn latest_parts<'v>(dumps: &[&'v Value]) -> IndexMap<String, &'v Value> {
    let rank = |part: &Value| {
        let number = |name: &str| part.get(name).and_then(Value::as_u64).unwrap_or(0);
        (number("term"), is_led_here(part), number("edition"))
    };
    let mut parts: IndexMap<String, &Value> = IndexMap::new();
    for part in dumps.iter().flat_map(|dump| rows_at(dump, "/parts")) {
        let known = parts.entry(text_at(part, "/part")).or_insert(part);
        if rank(part) > rank(known) {
            *known = part;
        }
    }
    parts.sort_unstable_keys();
    parts
}

fn is_led_here(part: &Value) -> bool {
    part.get("led_here") == Some(&Value::Bool(true))
}

/// Row of the table of parts.
#[derive(Serialize)]
struct PartRow {
    part: String,
    leader: String,
    term: String,
    slices: usize,
    /// Number of slices without a valid grant; `None` if the leader was not queried.
    unavailable: Option<usize>,
}

fn service_rows(parts: &IndexMap<String, &Value>) -> Vec<PartRow> {
    let row = |(name, part): (&String, &&Value)| {
        let slices = rows_at(part, "/slices");
        let is_granted = |slice: &&Value| {
            let left = slice.get("grant_left_ms").and_then(Value::as_u64);
            left.is_some_and(|left| left > 0)
        };
        // Slices of a shared service have no owner and no grant.
        let has_owner = slices
            .iter()
            .any(|slice| !text_at(slice, "/owner").is_empty());
        PartRow {
            part: name.clone(),
            leader: text_at(part, "/leader"),
            term: text_at(part, "/term"),
            slices: slices.len(),
            unavailable: (is_led_here(part) && has_owner)
                .then(|| slices.len() - slices.iter().filter(is_granted).count()),
        }
    };
    parts.iter().map(row).collect()
}

fn service_table(rows: &[PartRow]) -> String {
    let mut table = TextTable::new(&["PART", "LEADER", "TERM", "SLICES", "UNAVAILABLE"]);
    for row in rows {
        table.row(&[
            row.part.clone(),
            row.leader.clone(),
            row.term.clone(),
            row.slices.to_string(),
            row.unavailable
                .map_or(String::new(), |count| count.to_string()),
        ]);
    }
    table.text()
}

/// Row of the table of servers, combined from the answers of all instances.
#[derive(Default, Serialize)]
struct ServerRow {
    service: String,
    server: String,
    state: String,
    running: u64,
    queued: u64,
    slots: String,
    owned_slices: usize,
}

fn server_rows(dumps: &[&Value], parts: &IndexMap<String, &Value>) -> Vec<ServerRow> {
    let mut rows: IndexMap<String, ServerRow> = IndexMap::new();
    for server in dumps.iter().flat_map(|dump| rows_at(dump, "/servers")) {
        let number = |name: &str| server.get(name).and_then(Value::as_u64).unwrap_or(0);
        let row = rows.entry(text_at(server, "/server")).or_default();
        row.service = text_at(server, "/service");
        row.server = text_at(server, "/server");
        row.slots = text_at(server, "/slots");
        let state = text_at(server, "/state");
        if row.state.is_empty() || row.state == "active" {
            row.state = state;
        }
        row.running += number("running");
        row.queued += number("queued");
    }
    for slice in parts.values().flat_map(|part| rows_at(part, "/slices")) {
        if let Some(row) = rows.get_mut(&text_at(slice, "/owner")) {
            row.owned_slices += 1;
        }
    }
    rows.into_values().collect()
}

fn server_table(rows: &[ServerRow]) -> String {
    let heading = ["SERVICE", "SERVER", "STATE", "RUNNING", "QUEUED", "SLICES"];
    let mut table = TextTable::new(&heading);
    for row in rows {
        table.row(&[
            row.service.clone(),
            row.server.clone(),
            row.state.clone(),
            format!("{}/{}", row.running, row.slots),
            row.queued.to_string(),
            row.owned_slices.to_string(),
        ]);
    }
    table.text()
}
